//! Rate limit on loads from the weight store.

use std::collections;
use std::time;

/// The interval over which the rate is limited.
const WINDOW: time::Duration = time::Duration::from_secs(5);

/// Limits how many loads from the weight store start within any interval.
#[derive(Debug, Default)]
pub(super) struct StoreWindow {
    starts: collections::VecDeque<time::Instant>,
}

impl StoreWindow {
    /// Returns whether another load may start now.
    pub(super) fn allows_load(&mut self, loads_per_s: f64, now: time::Instant) -> bool {
        while let Some(first) = self.starts.front()
            && now.saturating_duration_since(*first) >= WINDOW
        {
            self.starts.pop_front();
        }
        let starts = u32::try_from(self.starts.len()).unwrap_or(u32::MAX);
        f64::from(starts) + 1.0 <= (loads_per_s * WINDOW.as_secs_f64()).max(1.0)
    }

    /// Records a load that starts now.
    pub(super) fn record_start(&mut self, now: time::Instant) {
        self.starts.push_back(now);
    }
}
