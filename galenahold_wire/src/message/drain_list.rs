//! Replicas that take no new requests.

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_domain::placement;
use serde::{Deserialize, Serialize};

/// Replicas that take no new requests, since the control group is about to unload them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainList {
    /// Grows with each change.
    pub version: u64,
    /// The replicas.
    pub replicas: Vec<DrainingReplica>,
}

/// One replica that takes no new requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainingReplica {
    /// The backend server.
    pub server: name::ServerName,
    /// Its incarnation.
    pub incarnation: amount::IncarnationNumber,
    /// What it holds.
    pub artifact: placement::ReplicaArtifact,
}
