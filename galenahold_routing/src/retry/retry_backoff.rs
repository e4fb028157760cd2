//! Randomised exponential backoff between retries.

use std::time;

use rand::RngExt;

const DEFAULT_BASE: time::Duration = time::Duration::from_millis(10);
const DEFAULT_CAP: time::Duration = time::Duration::from_secs(1);

/// Factor by which the last pause bounds the next one.
const GROWTH: u32 = 3;

/// The pauses between retries, by decorrelated jitter: each pause is drawn between the base and three times
/// the last pause.
#[derive(Debug, Clone)]
pub struct RetryBackoff {
    base: time::Duration,
    cap: time::Duration,
    last: time::Duration,
}

impl RetryBackoff {
    /// Returns a backoff whose pauses are at least `base` and at most `cap`.
    #[must_use]
    pub fn new(base: time::Duration, cap: time::Duration) -> Self {
        Self {
            base,
            cap,
            last: base,
        }
    }

    /// Returns the next pause.
    pub fn next_pause(&mut self, rng: &mut impl rand::Rng) -> time::Duration {
        let upper_bound = self.last.saturating_mul(GROWTH).max(self.base);
        self.last = rng.random_range(self.base..=upper_bound).min(self.cap);
        self.last
    }

    /// Resets the last pause to the base.
    pub fn reset(&mut self) {
        self.last = self.base;
    }
}

impl Default for RetryBackoff {
    fn default() -> Self {
        Self::new(DEFAULT_BASE, DEFAULT_CAP)
    }
}
