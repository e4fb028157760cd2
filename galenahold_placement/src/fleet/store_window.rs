//! Bounds loads from the weight store.

use std::collections;
use std::time;

/// The span over which the store's rate is kept.
const SPAN: time::Duration = time::Duration::from_secs(5);

/// Bounds how many loads from the weight store begin in any span.
#[derive(Debug, Default)]
pub(super) struct StoreWindow {
    begun: collections::VecDeque<time::Instant>,
}

impl StoreWindow {
    /// Returns whether one more load may begin now.
    pub(super) fn has_room(&mut self, loads_per_s: f64, now: time::Instant) -> bool {
        while let Some(first) = self.begun.front()
            && now.saturating_duration_since(*first) >= SPAN
        {
            self.begun.pop_front();
        }
        let begun = u32::try_from(self.begun.len()).unwrap_or(u32::MAX);
        f64::from(begun) + 1.0 <= (loads_per_s * SPAN.as_secs_f64()).max(1.0)
    }

    /// Counts a load that begins now.
    pub(super) fn count(&mut self, now: time::Instant) {
        self.begun.push_back(now);
    }
}
