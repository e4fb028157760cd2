//! Decides how long replicas without work are kept.

use std::time;

use crate::policy;

/// Decides how long replicas without work are kept.
pub trait KeepAlive {
    /// Returns how long a replica that has just become idle is kept, or nothing where it is kept
    /// until its memory is needed.
    fn keep_alive_time(&self, replica: &policy::IdleReplica<'_>) -> Option<time::Duration>;

    /// Returns what keeping a replica is worth; the lowest goes first when memory is needed.
    fn retention_value(&self, replica: &policy::IdleReplica<'_>) -> f64;
}
