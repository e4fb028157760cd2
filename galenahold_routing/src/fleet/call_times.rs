//! How long a waiting call can still be served.

use std::time;

/// The remaining times of a call that waits for a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallTimes {
    /// Time until the answer should have begun for the call to be on time; zero if that has passed.
    pub due_in: time::Duration,
    /// Time until the call can no longer be served.
    pub leaves_in: time::Duration,
}
