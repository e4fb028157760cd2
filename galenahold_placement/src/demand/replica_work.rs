//! Running requests of one instance at one replica.

use galenahold_domain::{name, placement};
use serde::{Deserialize, Serialize};

/// Requests of one instance that are in flight at one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaWork {
    /// The backend server.
    pub server: name::ServerName,
    /// The model or adapter of the replica.
    pub artifact: placement::ReplicaArtifact,
    /// Requests that were sent and have not ended.
    pub in_flight: u32,
}
