//! Load order by waiting requests per second of load time.

use std::time;

use crate::policy;

const DEFAULT_AGING: time::Duration = time::Duration::from_secs(2);

/// Loads the artifact with the most waiting requests per second of load time first, with aging so
/// that nothing starves.
///
/// The score is the number of waiting requests divided by the expected load time. It grows with the
/// square of the oldest wait once the wait exceeds the aging time.
#[derive(Debug)]
pub struct WaitingWeighted {
    aging: time::Duration,
}

impl WaitingWeighted {
    /// Creates an order with the given aging time.
    #[must_use]
    pub fn new(aging: time::Duration) -> Self {
        Self { aging }
    }
}

impl Default for WaitingWeighted {
    fn default() -> Self {
        Self::new(DEFAULT_AGING)
    }
}

impl policy::LoadOrder for WaitingWeighted {
    fn score(&self, candidate: &policy::LoadCandidate) -> f64 {
        let age = candidate.oldest_wait.as_secs_f64() / self.aging.as_secs_f64();
        let relief = candidate.fair_waiting / candidate.expected_load.as_secs_f64();
        relief * (1.0 + age * age)
    }
}
