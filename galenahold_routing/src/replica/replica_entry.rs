//! What the table knows of a replica.

use galenahold_domain::amount;

use crate::replica;
use crate::replica::server_entry::LocalWork;

/// What the table knows of a replica.
#[derive(Debug)]
pub struct ReplicaEntry {
    pub(super) server: replica::ServerKey,
    pub(super) target: replica::ReplicaTarget,
    pub(super) local: LocalWork,
}

impl ReplicaEntry {
    /// Returns the backend server that holds it.
    #[must_use]
    pub fn server(&self) -> replica::ServerKey {
        self.server
    }

    /// Returns what it holds.
    #[must_use]
    pub fn target(&self) -> &replica::ReplicaTarget {
        &self.target
    }

    /// Returns the requests that this instance has under way there.
    #[must_use]
    pub fn local_requests(&self) -> u32 {
        self.local.requests
    }

    /// Returns the tokens that this instance has under way there.
    #[must_use]
    pub fn local_tokens(&self) -> amount::TokenCount {
        amount::TokenCount(self.local.tokens)
    }
}
