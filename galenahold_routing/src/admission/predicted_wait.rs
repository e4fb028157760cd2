//! How long a request is expected to wait before it runs.

use std::time;

/// How long a request is expected to wait before it runs. What is unknown counts as no wait.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PredictedWait {
    /// Until the team's tokens suffice.
    pub tokens: Option<time::Duration>,
    /// Until the requests ahead have been served.
    pub queue: Option<time::Duration>,
    /// Until a replica is loaded, where none is.
    pub cold_start: Option<time::Duration>,
}

impl PredictedWait {
    /// Returns the whole wait; the queue moves only once a replica is loaded.
    #[must_use]
    pub fn total(&self) -> time::Duration {
        let queue = self.queue.unwrap_or_default();
        let cold_start = self.cold_start.unwrap_or_default();
        let capacity = queue + cold_start;
        capacity.max(self.tokens.unwrap_or_default())
    }
}
