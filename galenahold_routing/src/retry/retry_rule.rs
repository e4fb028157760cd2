//! The rule for retries of a failed request.

use std::time;

use galenahold_domain::verdict;

use crate::retry;

const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// Decides whether a failed request may be retried, by its verdict, attempts and deadline.
#[derive(Debug, Clone)]
pub struct RetryRule {
    max_attempts: u32,
}

impl RetryRule {
    /// Returns a rule with a maximum number of attempts, the first one included.
    #[must_use]
    pub fn new(max_attempts: u32) -> Self {
        Self { max_attempts }
    }

    /// Decides after `attempts` attempts, the last of which ended with `verdict`.
    #[must_use]
    pub fn decide(
        &self,
        verdict: verdict::RequestVerdict,
        idempotent: bool,
        attempts: u32,
        pause: time::Duration,
        time_left: time::Duration,
    ) -> retry::RetryDecision {
        let repeatable = match verdict {
            verdict::RequestVerdict::NotRun => true,
            verdict::RequestVerdict::MayHaveRun => idempotent,
            verdict::RequestVerdict::Ran => false,
        };
        if !repeatable {
            return retry::RetryDecision::NotRepeatable;
        }
        if attempts >= self.max_attempts {
            return retry::RetryDecision::AttemptsExhausted;
        }
        if pause >= time_left {
            return retry::RetryDecision::DeadlineTooNear;
        }
        retry::RetryDecision::Retry { pause }
    }
}

impl Default for RetryRule {
    fn default() -> Self {
        Self::new(DEFAULT_MAX_ATTEMPTS)
    }
}
