//! One replica in the replica table.

use galenahold_domain::amount;

use crate::replica;
use crate::replica::server_entry::LocalWork;

/// A replica in the table, with the requests of this instance at it.
#[derive(Debug)]
pub struct ReplicaEntry {
    pub(super) server: replica::ServerKey,
    pub(super) target: replica::ReplicaTarget,
    pub(super) local: LocalWork,
}

impl ReplicaEntry {
    /// Returns the backend server that holds the replica.
    #[must_use]
    pub fn server(&self) -> replica::ServerKey {
        self.server
    }

    /// Returns the model version, adapter or service that the replica serves.
    #[must_use]
    pub fn target(&self) -> &replica::ReplicaTarget {
        &self.target
    }

    /// Returns the number of this instance's requests in flight at the replica.
    #[must_use]
    pub fn local_requests(&self) -> u32 {
        self.local.requests
    }

    /// Returns the tokens of this instance's requests in flight at the replica.
    #[must_use]
    pub fn local_tokens(&self) -> amount::TokenCount {
        amount::TokenCount(self.local.tokens)
    }
}
