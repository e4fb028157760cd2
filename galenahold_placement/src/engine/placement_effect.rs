//! Output of the placement engine.

use galenahold_domain::{amount, name, placement};

/// Commit or order that the placement engine requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementEffect {
    /// Commit a reservation of memory.
    Reserve {
        /// The backend server.
        server: name::ServerName,
        /// The server's incarnation.
        incarnation: amount::IncarnationNumber,
        /// The server's memory capacity.
        capacity: amount::ByteCount,
        /// The model or adapter to load.
        artifact: placement::ReplicaArtifact,
        /// Memory that the replica takes.
        bytes: amount::ByteCount,
    },
    /// Commit the unchanged state of a reservation again with this instance as the sender, so that
    /// the order gets a higher fencing number.
    TakeOver {
        /// The reservation.
        id: placement::ReservationId,
        /// The reservation's state.
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
    /// Commit that the replica is unloaded.
    Release {
        /// The reservation.
        id: placement::ReservationId,
    },
    /// Commit a reservation for a loaded replica that has none.
    Adopt {
        /// The backend server.
        server: name::ServerName,
        /// The server's incarnation.
        incarnation: amount::IncarnationNumber,
        /// The model or adapter that is loaded.
        artifact: placement::ReplicaArtifact,
        /// Memory that the replica takes.
        bytes: amount::ByteCount,
        /// Whether to raise an alarm: the replica exceeds what the intent allows, or carries the
        /// number of an unknown order.
        alarm: bool,
    },
    /// Commit the release of all reservations of the server's earlier incarnations.
    Retire {
        /// The backend server.
        server: name::ServerName,
        /// The current incarnation.
        incarnation: amount::IncarnationNumber,
    },
}
