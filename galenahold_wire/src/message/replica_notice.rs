//! Says that a backend server has loaded a replica.

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_domain::placement;
use serde::{Deserialize, Serialize};

/// Says that a backend server answered a load order with success, ahead of its next announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaNotice {
    /// The backend server.
    pub server: name::ServerName,
    /// Its incarnation.
    pub incarnation: amount::IncarnationNumber,
    /// What it loaded.
    pub artifact: placement::ReplicaArtifact,
    /// Memory that the replica takes.
    pub bytes: amount::ByteCount,
    /// The number of the order.
    pub order: placement::ReservationId,
    /// How long ago the answer came, in milliseconds.
    pub age_ms: u64,
}
