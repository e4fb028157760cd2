//! Bounds retries to a fraction of the traffic.

use std::time;

const DEFAULT_PERCENT: u32 = 20;
const DEFAULT_MIN_PER_SECOND: u32 = 10;
const MAX_BALANCE: f64 = 100.0;

/// Bounds retries to a fraction of the traffic, so that an outage is not made worse by them.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    min_per_second: u32,
    balance: f64,
    refilled_at: time::Instant,
}

impl RetryBudget {
    /// Returns a budget of `percent` retries in a hundred requests and at least a few a second.
    #[must_use]
    pub fn new(percent: u32, min_per_second: u32, now: time::Instant) -> Self {
        Self {
            percent,
            min_per_second,
            balance: f64::from(min_per_second).min(MAX_BALANCE),
            refilled_at: now,
        }
    }

    /// Returns the with_defaults budget.
    #[must_use]
    pub fn with_defaults(now: time::Instant) -> Self {
        Self::new(DEFAULT_PERCENT, DEFAULT_MIN_PER_SECOND, now)
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.credit(f64::from(self.percent) / 100.0);
    }

    /// Takes a retry from the budget, if there is one left.
    #[must_use]
    pub fn withdraw(&mut self, now: time::Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.credit(elapsed.as_secs_f64() * f64::from(self.min_per_second));
        let affordable = self.balance >= 1.0;
        if affordable {
            self.balance -= 1.0;
        }
        affordable
    }

    fn credit(&mut self, retries: f64) {
        self.balance = (self.balance + retries).min(MAX_BALANCE);
    }
}
