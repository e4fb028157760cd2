//! What the placement engine wants done.

use galenahold_domain::{amount, name, placement};

/// What the placement engine wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementEffect {
    /// Commit a reservation of memory.
    Reserve {
        /// The backend server.
        server: name::ServerName,
        /// Its incarnation.
        incarnation: amount::IncarnationNumber,
        /// Its memory.
        capacity: amount::ByteCount,
        /// What is to be loaded.
        artifact: placement::ReplicaArtifact,
        /// Memory that it takes.
        bytes: amount::ByteCount,
    },
    /// Commit the same state of a reservation anew, with this instance as the sender, so that the
    /// order gets a higher fencing number.
    TakeOver {
        /// The reservation.
        id: placement::ReservationId,
        /// Its state.
        state: placement::ReservationState,
    },
    /// Send the load order of a committed reservation.
    SendLoad {
        /// The reservation.
        reservation: placement::MemoryReservation,
    },
    /// Commit that the replica is loaded.
    MarkLoaded {
        /// The reservation.
        id: placement::ReservationId,
    },
    /// Commit that the replica takes no new requests.
    Drain {
        /// The reservation.
        id: placement::ReservationId,
    },
    /// Commit that the replica is to be unloaded.
    Unload {
        /// The reservation.
        id: placement::ReservationId,
    },
    /// Send the unload order of a committed reservation.
    SendUnload {
        /// The reservation.
        reservation: placement::MemoryReservation,
    },
    /// Commit that the replica is gone.
    Release {
        /// The reservation.
        id: placement::ReservationId,
    },
    /// Commit that a replica that nobody decided counts.
    Adopt {
        /// The backend server.
        server: name::ServerName,
        /// Its incarnation.
        incarnation: amount::IncarnationNumber,
        /// What is loaded.
        artifact: placement::ReplicaArtifact,
        /// Memory that it takes.
        bytes: amount::ByteCount,
        /// Whether it is more than the intent allows or bears the number of an unknown order: raise
        /// an alarm.
        alarm: bool,
    },
    /// Commit that all earlier incarnations of a backend server are gone.
    Retire {
        /// The backend server.
        server: name::ServerName,
        /// The incarnation that is alive.
        incarnation: amount::IncarnationNumber,
    },
}
