//! Whether a request is taken.

use std::time;

/// Whether a request is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It may wait for its turn.
    Admit,
    /// It would not be served before its deadline.
    Refuse {
        /// When a request with the same deadline should be served in time.
        retry_after: time::Duration,
    },
}
