//! What the placement engine is told.

use std::time;

use galenahold_domain::{amount, intent, name, placement, server};

use crate::demand;
use crate::engine;

/// What the placement engine is told.
#[derive(Debug, Clone)]
pub enum PlacementEvent {
    /// An intent is in force.
    IntentChanged(intent::FleetIntent),
    /// A backend server announced itself.
    ServerAnnounced {
        /// The announcement.
        announcement: server::ServerAnnouncement,
        /// Its age.
        age: time::Duration,
    },
    /// A reservation is committed, or its committed state changed.
    ///
    /// A new leader is told each reservation of the replicated state first.
    ReservationChanged(placement::MemoryReservation),
    /// The release of a reservation is committed.
    ReservationReleased {
        /// The reservation.
        id: placement::ReservationId,
    },
    /// A commit that the engine asked for was refused for a reservation.
    ReservationRefused {
        /// The reservation.
        id: placement::ReservationId,
    },
    /// A reserve that the engine asked for was refused.
    ReserveRefused {
        /// The backend server.
        server: name::ServerName,
        /// What was to be loaded.
        artifact: placement::ReplicaArtifact,
    },
    /// All reservations of earlier incarnations of a backend server are released.
    ServerRetired {
        /// The backend server.
        server: name::ServerName,
        /// The incarnation that is alive.
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
        /// How it ended.
        outcome: engine::OrderOutcome,
    },
    /// A sender said that it never sent the order with this fencing number and never will.
    OrderNeverSent {
        /// The reservation.
        id: placement::ReservationId,
        /// The order's fencing number.
        fence: amount::FencingNumber,
    },
    /// All incarnations of an instance before this one are known to have ended.
    SenderEnded {
        /// The instance.
        instance: name::InstanceName,
        /// The first incarnation that may be alive.
        before: amount::IncarnationNumber,
    },
    /// Time went on; due several times a second.
    Tick,
}
