//! A candidate for the choice of a replica.

use crate::replica;

/// A replica that a request may be sent to, with its estimated load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaCandidate {
    /// The replica.
    pub key: replica::ReplicaKey,
    /// The backend server that holds the replica.
    pub server: replica::ServerKey,
    /// Estimated outstanding tokens at the backend server.
    pub tokens: f64,
    /// Estimated requests at the backend server.
    pub requests: f64,
    /// A hash of the backend server's name, which is the same at every instance.
    pub name_hash: u64,
    /// Requests of this instance that are in flight at the replica.
    pub local_requests: u32,
}

impl ReplicaCandidate {
    /// Returns whether the replica may take one more request within a limit on concurrent requests.
    #[must_use]
    pub fn has_room(&self, concurrency: u32) -> bool {
        self.requests + 1.0 <= f64::from(concurrency)
    }
}
