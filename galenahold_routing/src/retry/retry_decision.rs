//! Whether a failed request is sent again.

use std::time;

/// Whether a failed request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// It may be sent again after the pause, if the budget allows.
    Retry {
        /// The pause.
        pause: time::Duration,
    },
    /// It may have run and must not run twice.
    NotRepeatable,
    /// It was attempted often enough.
    AttemptsExhausted,
    /// The deadline would pass first.
    DeadlineTooNear,
}
