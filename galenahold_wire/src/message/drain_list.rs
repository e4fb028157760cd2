//! Replicas that are draining.

use galenahold_domain::amount;
use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_domain::placement;
use serde::{Deserialize, Serialize};

/// The replicas that accept no new requests because the control group is about to unload them, and the
/// backend servers that accept none because they leave.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainList {
    /// The version, which increases with each change of the list.
    pub version: u64,
    /// The draining replicas.
    pub replicas: Vec<DrainingReplica>,
    /// The backend servers that announced that they leave.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<fleet::ServerDeparture>,
}

/// A replica that accepts no new requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainingReplica {
    /// The backend server.
    pub server: name::ServerName,
    /// The backend server's incarnation.
    pub incarnation: amount::IncarnationNumber,
    /// The artifact that the replica serves.
    pub artifact: placement::ReplicaArtifact,
}
