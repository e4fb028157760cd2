//! Policy that keeps idle replicas loaded.

use std::time;

use crate::policy;

/// Decides how long idle replicas stay loaded, and which ones are evicted first.
pub trait KeepAlive {
    /// Returns how long a replica that has just become idle stays loaded; `None` if it stays until
    /// its memory is needed.
    fn keep_alive_time(&self, replica: &policy::IdleReplica<'_>) -> Option<time::Duration>;

    /// Returns the value of keeping a replica; the replica with the lowest value is evicted first.
    fn retention_value(&self, replica: &policy::IdleReplica<'_>) -> f64;
}
