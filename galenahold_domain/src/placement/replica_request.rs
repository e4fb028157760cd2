//! A replica that is to take memory of a backend server.

use crate::amount;
use crate::name;
use crate::placement;

/// A replica that is to take memory of a backend server.
#[derive(Debug, Clone)]
pub struct ReplicaRequest {
    /// The backend server.
    pub server: name::ServerName,
    /// Its incarnation.
    pub incarnation: amount::IncarnationNumber,
    /// What it holds.
    pub artifact: placement::ReplicaArtifact,
    /// Memory that it takes.
    pub bytes: amount::ByteCount,
    /// The instance that sends the order, or that saw the replica.
    pub sender: name::InstanceName,
    /// That instance's incarnation.
    pub sender_incarnation: amount::IncarnationNumber,
}

impl ReplicaRequest {
    /// Returns the reservation that the request leads to under this fencing number.
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
