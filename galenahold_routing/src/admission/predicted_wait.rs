//! The parts of a request's expected wait.

use std::time;

/// How long a request is expected to wait before it runs. A part that is unknown counts as zero.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PredictedWait {
    /// Until the team has enough tokens.
    pub tokens: Option<time::Duration>,
    /// Until the requests ahead in the queue are served.
    pub queue: Option<time::Duration>,
    /// Until a replica is loaded, if none is.
    pub cold_start: Option<time::Duration>,
}

impl PredictedWait {
    /// Returns the total wait.
    ///
    /// Queue and cold start add up, since the queue moves only once a replica is loaded. The wait for
    /// tokens runs in parallel.
    #[must_use]
    pub fn total(&self) -> time::Duration {
        let queue = self.queue.unwrap_or_default();
        let cold_start = self.cold_start.unwrap_or_default();
        let capacity = queue + cold_start;
        capacity.max(self.tokens.unwrap_or_default())
    }
}
