//! Keep-alive policy with a constant time.

use std::time;

use crate::policy;

const DEFAULT_KEEP_ALIVE: time::Duration = time::Duration::from_mins(10);

/// Keeps each idle replica for the same time, and evicts the longest idle replica first.
#[derive(Debug)]
pub struct FixedKeepAlive {
    keep_alive: time::Duration,
}

impl FixedKeepAlive {
    /// Creates a policy with the given keep-alive time.
    #[must_use]
    pub fn new(keep_alive: time::Duration) -> Self {
        Self { keep_alive }
    }
}

impl Default for FixedKeepAlive {
    fn default() -> Self {
        Self::new(DEFAULT_KEEP_ALIVE)
    }
}

impl policy::KeepAlive for FixedKeepAlive {
    fn keep_alive_time(&self, _replica: &policy::IdleReplica<'_>) -> Option<time::Duration> {
        Some(self.keep_alive)
    }

    fn retention_value(&self, replica: &policy::IdleReplica<'_>) -> f64 {
        -replica.idle.as_secs_f64()
    }
}
