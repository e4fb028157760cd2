//! Notices of completed loads.

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_domain::placement;
use serde::{Deserialize, Serialize};

/// A notice that a backend server has completed a load order, sent ahead of the server's next announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaNotice {
    /// The backend server.
    pub server: name::ServerName,
    /// The backend server's incarnation.
    pub incarnation: amount::IncarnationNumber,
    /// The loaded artifact.
    pub artifact: placement::ReplicaArtifact,
    /// Memory used by the replica.
    pub bytes: amount::ByteCount,
    /// The reservation of the load order.
    pub order: placement::ReservationId,
    /// The time since the backend server answered the order, in milliseconds.
    pub age_ms: u64,
}
