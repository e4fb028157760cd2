//! The outcome of the admission rule for one request.

use std::time;

/// Whether a request is admitted to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may be queued.
    Admit,
    /// The request would not be served before its deadline.
    Refuse {
        /// Delay after which a request with the same time left should be admitted.
        retry_after: time::Duration,
    },
}
