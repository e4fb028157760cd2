//! Remaining times of a call that waits for a model.

use std::time;

/// How long a waiting call can still be served, as of the report that lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingCall {
    /// Time until its objective is missed; zero if it has been.
    pub due_in: time::Duration,
    /// Time until its caller leaves, or its response could no longer be complete.
    pub leaves_in: time::Duration,
}
