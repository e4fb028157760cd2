//! A replica that a request may be sent to.

use crate::replica;

/// A replica that a request may be sent to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaCandidate {
    /// The replica.
    pub key: replica::ReplicaKey,
    /// Its backend server.
    pub server: replica::ServerKey,
    /// Estimated outstanding tokens at the backend server.
    pub tokens: f64,
    /// Estimated requests at the backend server.
    pub requests: f64,
    /// A hash of the backend server's name, the same at each instance.
    pub name_hash: u64,
    /// Requests that this instance has under way at the replica.
    pub local_requests: u32,
}

impl ReplicaCandidate {
    /// Returns whether the replica may take one more request under a limit of concurrent ones.
    #[must_use]
    pub fn has_room(&self, concurrency: u32) -> bool {
        self.requests + 1.0 <= f64::from(concurrency)
    }
}
