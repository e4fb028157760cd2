//! Keep-alive policy without a time limit.

use std::time;

use crate::policy;

/// Keeps replicas until their memory is needed, and evicts the least recently used one first.
#[derive(Debug, Default)]
pub struct RecencyKeepAlive;

impl policy::KeepAlive for RecencyKeepAlive {
    fn keep_alive_time(&self, _replica: &policy::IdleReplica<'_>) -> Option<time::Duration> {
        None
    }

    fn retention_value(&self, replica: &policy::IdleReplica<'_>) -> f64 {
        -replica.idle.as_secs_f64()
    }
}
