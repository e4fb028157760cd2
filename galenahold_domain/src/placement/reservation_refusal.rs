//! The rules of the reservation table as errors.

use snafu::Snafu;

use crate::amount;
use crate::name;
use crate::placement;

/// The reason why the reservation table refused a change.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReservationRefusal {
    /// The backend server has too little free memory.
    #[snafu(display(
        "cannot reserve {bytes} bytes on `{server}`: {reserved} of {capacity} bytes are reserved; free memory first"
    ))]
    NoMemory {
        /// The backend server.
        server: name::ServerName,
        /// The requested bytes.
        bytes: amount::ByteCount,
        /// The bytes that are already reserved.
        reserved: amount::ByteCount,
        /// The accelerator memory of the backend server.
        capacity: amount::ByteCount,
    },
    /// Another load or unload order for a model is unresolved at the backend server.
    #[snafu(display(
        "cannot start an order on `{server}`: order {id} is unresolved there; wait until it is resolved"
    ))]
    OrderUnresolved {
        /// The backend server.
        server: name::ServerName,
        /// The reservation whose order is unresolved.
        id: placement::ReservationId,
    },
    /// The artifact already has a reservation at the backend server.
    #[snafu(display(
        "cannot reserve memory on `{server}`: reservation {id} is for the same artifact"
    ))]
    DuplicateArtifact {
        /// The backend server.
        server: name::ServerName,
        /// The existing reservation.
        id: placement::ReservationId,
    },
    /// The intent in force does not contain the model, version or adapter.
    #[snafu(display(
        "cannot reserve memory for `{artifact}`: the intent in force does not contain it"
    ))]
    NotIntended {
        /// The artifact.
        artifact: String,
    },
    /// The request is for less memory than the intent states.
    #[snafu(display(
        "cannot reserve {bytes} bytes for `{artifact}`: the intent in force states {stated} bytes"
    ))]
    TooFewBytes {
        /// The artifact.
        artifact: String,
        /// The requested bytes.
        bytes: amount::ByteCount,
        /// The bytes that the intent states.
        stated: amount::ByteCount,
    },
    /// The model already has as many replicas as the intent allows.
    #[snafu(display(
        "cannot reserve memory for `{model}`: it has {replicas} replicas and {max} are allowed"
    ))]
    TooManyReplicas {
        /// The model.
        model: name::ModelName,
        /// The number of replicas with a reservation.
        replicas: usize,
        /// The maximum number that the intent allows.
        max: u32,
    },
    /// The adapter's base model is not loaded at the backend server.
    #[snafu(display(
        "cannot reserve memory for an adapter on `{server}`: its model `{model}` is not loaded there"
    ))]
    BaseNotLoaded {
        /// The backend server.
        server: name::ServerName,
        /// The base model.
        model: name::ModelName,
    },
    /// The backend server has restarted since.
    #[snafu(display(
        "cannot change replicas on `{server}`: incarnation {found} has ended, {known} is the latest; read its inventory again"
    ))]
    IncarnationEnded {
        /// The backend server.
        server: name::ServerName,
        /// The incarnation of the request.
        found: amount::IncarnationNumber,
        /// The latest known incarnation.
        known: amount::IncarnationNumber,
    },
    /// The reservation does not exist.
    #[snafu(display("cannot change reservation {id}: it does not exist or was released"))]
    NoSuchReservation {
        /// The reservation.
        id: placement::ReservationId,
    },
    /// The reservation cannot move to the wanted state.
    #[snafu(display("cannot change reservation {id}: it cannot move from {from} to {to}"))]
    IllegalTransition {
        /// The reservation.
        id: placement::ReservationId,
        /// The current state.
        from: placement::ReservationState,
        /// The wanted state.
        to: placement::ReservationState,
    },
}
