//! Memory of a backend server that is set aside for one replica.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::name;
use crate::placement;

/// Memory of a backend server that is set aside for one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryReservation {
    /// The reservation's number.
    pub id: placement::ReservationId,
    /// The backend server.
    pub server: name::ServerName,
    /// The incarnation that the order is for.
    pub incarnation: amount::IncarnationNumber,
    /// What is to be loaded.
    pub artifact: placement::ReplicaArtifact,
    /// Memory that it takes.
    pub bytes: amount::ByteCount,
    /// How far it has come.
    pub state: placement::ReservationState,
    /// The fencing number of the latest order for it.
    pub fence: amount::FencingNumber,
    /// The instance that may have sent the latest order.
    pub sender: name::InstanceName,
    /// The incarnation of that instance.
    pub sender_incarnation: amount::IncarnationNumber,
}
