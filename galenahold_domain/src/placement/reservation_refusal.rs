//! Why the reservation table refused.

use snafu::Snafu;

use crate::amount;
use crate::name;
use crate::placement;

/// Why the reservation table refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReservationRefusal {
    /// The memory does not suffice.
    #[snafu(display(
        "reserve {bytes} bytes on `{server}`: {reserved} of {capacity} bytes are reserved; free some first"
    ))]
    NoMemory {
        /// The backend server.
        server: name::ServerName,
        /// The bytes that were asked for.
        bytes: amount::ByteCount,
        /// The bytes that are reserved.
        reserved: amount::ByteCount,
        /// The backend server's memory.
        capacity: amount::ByteCount,
    },
    /// Another order for a model is unresolved at the backend server.
    #[snafu(display(
        "order on `{server}`: order {id} is unresolved there; wait until it is resolved"
    ))]
    OrderUnresolved {
        /// The backend server.
        server: name::ServerName,
        /// The unresolved order.
        id: placement::ReservationId,
    },
    /// The artifact has a reservation at the backend server.
    #[snafu(display("reserve on `{server}`: reservation {id} holds the same artifact"))]
    DuplicateArtifact {
        /// The backend server.
        server: name::ServerName,
        /// The reservation.
        id: placement::ReservationId,
    },
    /// The intent in force has no such model, version or adapter.
    #[snafu(display("reserve `{artifact}`: the intent in force does not have it"))]
    NotIntended {
        /// The artifact.
        artifact: String,
    },
    /// The request takes less memory than the intent states.
    #[snafu(display(
        "reserve `{artifact}`: {bytes} bytes are fewer than the {stated} of the intent in force"
    ))]
    TooFewBytes {
        /// The artifact.
        artifact: String,
        /// The bytes that were asked for.
        bytes: amount::ByteCount,
        /// The bytes that the intent states.
        stated: amount::ByteCount,
    },
    /// The model has as many replicas as the intent allows.
    #[snafu(display("reserve `{model}`: {replicas} replicas are decided and {max} are allowed"))]
    TooManyReplicas {
        /// The model.
        model: name::ModelName,
        /// The replicas that are decided.
        replicas: usize,
        /// The most that the intent allows.
        max: u32,
    },
    /// The adapter's base model is not loaded at the backend server.
    #[snafu(display("reserve an adapter on `{server}`: its model `{model}` is not loaded there"))]
    BaseNotLoaded {
        /// The backend server.
        server: name::ServerName,
        /// The base model.
        model: name::ModelName,
    },
    /// The backend server has started anew since.
    #[snafu(display(
        "order on `{server}`: incarnation {found} has ended, {known} is known; read its inventory"
    ))]
    IncarnationEnded {
        /// The backend server.
        server: name::ServerName,
        /// The incarnation of the request.
        found: amount::IncarnationNumber,
        /// The latest incarnation known.
        known: amount::IncarnationNumber,
    },
    /// There is no such reservation.
    #[snafu(display("change reservation {id}: there is none; it was released"))]
    NoSuchReservation {
        /// The reservation.
        id: placement::ReservationId,
    },
    /// The reservation cannot go to that state.
    #[snafu(display("change reservation {id}: it cannot go from {from} to {to}"))]
    IllegalTransition {
        /// The reservation.
        id: placement::ReservationId,
        /// Its state.
        from: placement::ReservationState,
        /// The wanted state.
        to: placement::ReservationState,
    },
}
