//! Bounds retries to a fraction of the traffic.

use std::time;

const DEFAULT_PERCENT: u32 = 20;
const DEFAULT_LEAST_PER_SECOND: u32 = 10;
const MOST_SAVED: f64 = 100.0;

/// Bounds retries to a fraction of the traffic, so that an outage is not made worse by them.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    least_per_second: u32,
    saved: f64,
    refilled_at: time::Instant,
}

impl RetryBudget {
    /// Returns a budget of `percent` retries in a hundred requests and at least a few a second.
    #[must_use]
    pub fn new(percent: u32, least_per_second: u32, now: time::Instant) -> Self {
        Self {
            percent,
            least_per_second,
            saved: f64::from(least_per_second).min(MOST_SAVED),
            refilled_at: now,
        }
    }

    /// Returns the usual budget.
    #[must_use]
    pub fn usual(now: time::Instant) -> Self {
        Self::new(DEFAULT_PERCENT, DEFAULT_LEAST_PER_SECOND, now)
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.save(f64::from(self.percent) / 100.0);
    }

    /// Takes a retry from the budget, if there is one left.
    #[must_use]
    pub fn withdraw(&mut self, now: time::Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.save(elapsed.as_secs_f64() * f64::from(self.least_per_second));
        let affordable = self.saved >= 1.0;
        if affordable {
            self.saved -= 1.0;
        }
        affordable
    }

    fn save(&mut self, retries: f64) {
        self.saved = (self.saved + retries).min(MOST_SAVED);
    }
}
