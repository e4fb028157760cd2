//! The outcome of the retry rule.

use std::time;

/// Whether a failed request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request may be retried after the pause, if the budget allows.
    Retry {
        /// The pause before the retry.
        pause: time::Duration,
    },
    /// The request may have run and must not run twice.
    NotRepeatable,
    /// The maximum number of attempts is reached.
    AttemptsExhausted,
    /// The deadline would pass before the retry.
    DeadlineTooNear,
}
