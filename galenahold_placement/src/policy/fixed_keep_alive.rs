//! Keeps each replica for the same time.

use std::time;

use crate::policy;

const DEFAULT_KEEP: time::Duration = time::Duration::from_mins(10);

/// Keeps each replica for the same time; the longest idle goes first when memory is needed.
#[derive(Debug)]
pub struct FixedKeepAlive {
    keep: time::Duration,
}

impl FixedKeepAlive {
    /// Returns a policy with a time to keep.
    #[must_use]
    pub fn new(keep: time::Duration) -> Self {
        Self { keep }
    }
}

impl Default for FixedKeepAlive {
    fn default() -> Self {
        Self::new(DEFAULT_KEEP)
    }
}

impl policy::KeepAlive for FixedKeepAlive {
    fn keep_for(&self, _replica: &policy::IdleReplica<'_>) -> Option<time::Duration> {
        Some(self.keep)
    }

    fn worth(&self, replica: &policy::IdleReplica<'_>) -> f64 {
        -replica.idle.as_secs_f64()
    }
}
