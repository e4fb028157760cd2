//! Input of the placement engine.

use std::time;

use galenahold_domain::{amount, intent, name, placement, server};

use crate::demand;
use crate::engine;

/// Event that the placement engine processes.
#[derive(Debug, Clone)]
pub enum PlacementEvent {
    /// A new intent was committed.
    IntentChanged(intent::FleetIntent),
    /// A backend server announced its state.
    ServerAnnounced {
        /// The announcement.
        announcement: server::ServerAnnouncement,
        /// How long ago the announcement was made.
        age: time::Duration,
    },
    /// A reservation was committed, or its committed state changed.
    ///
    /// A new leader first receives every reservation of the replicated state.
    ReservationChanged(placement::MemoryReservation),
    /// The release of a reservation was committed.
    ReservationReleased {
        /// The reservation.
        id: placement::ReservationId,
    },
    /// A commit that the engine requested for a reservation was refused.
    ReservationRefused {
        /// The reservation.
        id: placement::ReservationId,
    },
    /// A reserve that the engine requested was refused.
    ReserveRefused {
        /// The backend server.
        server: name::ServerName,
        /// The model or adapter that was to be loaded.
        artifact: placement::ReplicaArtifact,
    },
    /// All reservations of a backend server's earlier incarnations were released.
    ServerRetired {
        /// The backend server.
        server: name::ServerName,
        /// The current incarnation.
        incarnation: amount::IncarnationNumber,
    },
    /// An instance reported its demand.
    DemandReported(demand::DemandReport),
    /// An order ended.
    OrderEnded {
        /// The reservation.
        id: placement::ReservationId,
        /// The order's fencing number.
        fence: amount::FencingNumber,
        /// The outcome of the order.
        outcome: engine::OrderOutcome,
    },
    /// A sender stated that it never sent the order with this fencing number and never will.
    OrderNeverSent {
        /// The reservation.
        id: placement::ReservationId,
        /// The order's fencing number.
        fence: amount::FencingNumber,
    },
    /// All incarnations of an instance before the given one have ended.
    SenderEnded {
        /// The instance.
        instance: name::InstanceName,
        /// The first incarnation that may be alive.
        before: amount::IncarnationNumber,
    },
    /// Periodic event; due several times a second.
    Tick,
}
