//! A retry budget for the whole traffic of an instance.

use std::time;

const DEFAULT_PERCENT: u32 = 20;
const DEFAULT_MIN_PER_SECOND: u32 = 10;

/// Maximum number of retries that can be saved.
const MAX_BALANCE: f64 = 100.0;

/// Limits retries to a fraction of the traffic, so that retries do not make an outage worse.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    min_per_second: u32,
    balance: f64,
    refilled_at: time::Instant,
}

impl RetryBudget {
    /// Returns a budget of `percent` retries for each hundred requests, and at least `min_per_second`.
    #[must_use]
    pub fn new(percent: u32, min_per_second: u32, now: time::Instant) -> Self {
        Self {
            percent,
            min_per_second,
            balance: f64::from(min_per_second).min(MAX_BALANCE),
            refilled_at: now,
        }
    }

    /// Returns a budget with the default limits.
    #[must_use]
    pub fn with_defaults(now: time::Instant) -> Self {
        Self::new(DEFAULT_PERCENT, DEFAULT_MIN_PER_SECOND, now)
    }

    /// Adds to the budget for the first attempt of a request.
    pub fn deposit(&mut self) {
        self.credit(f64::from(self.percent) / 100.0);
    }

    /// Takes a retry from the budget; returns false if the budget is used up.
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
