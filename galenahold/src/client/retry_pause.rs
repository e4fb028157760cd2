//! The pause before a call is sent again.

use std::time;

use rand::RngExt;

const MIN_PAUSE_MS: u64 = 50;
const MAX_PAUSE_MS: u64 = 2_000;
const GROWTH: u64 = 3;

/// The pause before a call is sent again: decorrelated jitter between a shortest and a longest pause.
#[derive(Debug)]
pub(super) struct RetryPause {
    last_ms: u64,
}

impl RetryPause {
    /// Starts with the shortest pause.
    pub(super) fn new() -> Self {
        Self {
            last_ms: MIN_PAUSE_MS,
        }
    }

    /// Draws the next pause.
    pub(super) fn next(&mut self, random: &mut impl RngExt) -> time::Duration {
        let upper = (self.last_ms * GROWTH).min(MAX_PAUSE_MS);
        self.last_ms = random.random_range(MIN_PAUSE_MS..=upper);
        time::Duration::from_millis(self.last_ms)
    }
}
