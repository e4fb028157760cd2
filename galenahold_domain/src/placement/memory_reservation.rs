//! The entry of a replica in the reservation table.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::name;
use crate::placement;

/// Accelerator memory of a backend server that is reserved for one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryReservation {
    /// The number of the reservation.
    pub id: placement::ReservationId,
    /// The backend server.
    pub server: name::ServerName,
    /// The incarnation of the backend server.
    pub incarnation: amount::IncarnationNumber,
    /// The model or adapter that the replica holds.
    pub artifact: placement::ReplicaArtifact,
    /// The memory that the replica takes.
    pub bytes: amount::ByteCount,
    /// The state of the replica.
    pub state: placement::ReservationState,
    /// The fencing number of the latest load or unload order for the replica.
    pub fence: amount::FencingNumber,
    /// The instance that may have sent that order.
    pub sender: name::InstanceName,
    /// The incarnation of that instance.
    pub sender_incarnation: amount::IncarnationNumber,
}
