//! Loads first what relieves most waiting in the least time.

use std::time;

use crate::policy;

const DEFAULT_AGING: time::Duration = time::Duration::from_secs(2);

/// Loads first what relieves most waiting in the least time, with aging so that nothing starves.
///
/// The score is the waiting requests over the expected time of the load, and grows with the square
/// of the oldest wait once that exceeds the aging time.
#[derive(Debug)]
pub struct WaitingWeighted {
    aging: time::Duration,
}

impl WaitingWeighted {
    /// Returns an order with an aging time.
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
