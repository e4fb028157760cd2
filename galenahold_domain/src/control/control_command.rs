//! A command of the replicated log.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::control;
use crate::intent;
use crate::key;
use crate::name;
use crate::order;
use crate::placement;

/// A command of the replicated log.
///
/// `now_ms` fields hold milliseconds since the Unix epoch at the proposer. They only bound how long
/// finished orders and answered requests are kept, and the state never lets them go back.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlCommand {
    /// Puts a plan in force if its base is the revision in force.
    ConfirmPlan {
        /// Who asks.
        request: control::OperatorRequest,
        /// The revision that the plan was made against.
        base: amount::RevisionNumber,
        /// The whole intent that is wanted.
        intent: intent::FleetIntent,
        /// The plan's digest, as the operator saw it.
        digest: String,
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// Gives a key to a team.
    GiveKey {
        /// Who asks.
        request: control::OperatorRequest,
        /// The key.
        record: key::KeyRecord,
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// Who asks.
        request: control::OperatorRequest,
        /// The key's public part.
        id: name::KeyId,
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// Starts an attempt of an order.
    StartOrder {
        /// The order.
        key: order::OrderKey,
        /// SHA-256 over method, path and body, in hexadecimal.
        digest: String,
        /// The instance that will send it.
        instance: name::InstanceName,
        /// That instance's incarnation: a repeat of the command from it gets the same attempt.
        incarnation: amount::IncarnationNumber,
        /// Numbers the command at that instance, so that a resent command is known again.
        call: u64,
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// Records how an attempt of an order ended.
    FinishOrder {
        /// The order.
        key: order::OrderKey,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        outcome: order::OrderOutcome,
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// Reserves memory for a replica, before its load order is sent.
    ReserveMemory {
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
        /// The instance that will send the order.
        sender: name::InstanceName,
        /// That instance's incarnation.
        sender_incarnation: amount::IncarnationNumber,
    },
    /// Moves a reservation on to a later state.
    AdvanceReservation {
        /// The reservation.
        id: placement::ReservationId,
        /// Its new state.
        state: placement::ReservationState,
        /// The instance that will send the order that goes with it, if one does.
        sender: name::InstanceName,
        /// That instance's incarnation.
        sender_incarnation: amount::IncarnationNumber,
    },
    /// Frees a reservation, after the backend server showed that the replica is gone.
    ReleaseReservation {
        /// The reservation.
        id: placement::ReservationId,
    },
    /// Takes over a replica that a backend server showed and nobody decided, so that its memory counts.
    AdoptReplica {
        /// The backend server.
        server: name::ServerName,
        /// Its incarnation.
        incarnation: amount::IncarnationNumber,
        /// What is loaded.
        artifact: placement::ReplicaArtifact,
        /// Memory that it takes.
        bytes: amount::ByteCount,
        /// The instance that saw it.
        sender: name::InstanceName,
        /// That instance's incarnation.
        sender_incarnation: amount::IncarnationNumber,
    },
    /// Frees all reservations of earlier incarnations of a backend server.
    RetireServer {
        /// The backend server.
        server: name::ServerName,
        /// The incarnation that is alive now.
        incarnation: amount::IncarnationNumber,
    },
}
