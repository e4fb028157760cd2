//! The input from which a reservation is made.

use crate::amount;
use crate::name;
use crate::placement;

/// A request for a reservation, for a replica to load or for one that was found loaded.
#[derive(Debug, Clone)]
pub struct ReplicaRequest {
    /// The backend server.
    pub server: name::ServerName,
    /// The incarnation of the backend server.
    pub incarnation: amount::IncarnationNumber,
    /// The model or adapter that the replica holds.
    pub artifact: placement::ReplicaArtifact,
    /// The memory that the replica takes.
    pub bytes: amount::ByteCount,
    /// The instance that will send the load order, or that found the replica loaded.
    pub sender: name::InstanceName,
    /// That instance's incarnation.
    pub sender_incarnation: amount::IncarnationNumber,
}

impl ReplicaRequest {
    /// Returns the reservation for the request under this fencing number.
    pub(crate) fn reservation(
        &self,
        fence: amount::FencingNumber,
        state: placement::ReservationState,
    ) -> placement::MemoryReservation {
        placement::MemoryReservation {
            id: placement::ReservationId(fence.index),
            server: self.server.clone(),
            incarnation: self.incarnation,
            artifact: self.artifact.clone(),
            bytes: self.bytes,
            state,
            fence,
            sender: self.sender.clone(),
            sender_incarnation: self.sender_incarnation,
        }
    }
}
