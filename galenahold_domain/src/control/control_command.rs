//! A command of the replicated log.

use std::collections;

use serde::de;
use serde::{Deserialize, Serialize};

use crate::amount;
use crate::codec;
use crate::control;
use crate::declaration;
use crate::error;
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
#[serde(rename_all = "snake_case", deny_unknown_fields)]
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
    /// Puts a plan in force if its base is the revision in force; it carries only what changes.
    ///
    /// [`ControlCommand::confirm`] makes it.
    ConfirmDelta {
        /// Who asks.
        request: control::OperatorRequest,
        /// The revision that the plan was made against.
        base: amount::RevisionNumber,
        /// What differs from the intent in force when the command was proposed.
        delta: intent::IntentDelta,
        /// A digest of the whole wanted intent, by which a resend is known again.
        wanted: String,
        /// The plan's digest, as the operator saw it.
        digest: String,
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// Gives a key to a team.
    GiveKey {
        /// Who asks.
        request: control::OperatorRequest,
        /// A revision that the operator saw. A request whose base is older than what the state
        /// remembers of withdrawn keys is refused, so that an old resend never revives a key.
        base: amount::RevisionNumber,
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
    /// Puts an operator's whole document in force, if its number is higher than that in force.
    Declare {
        /// The document.
        document: declaration::DeclaredDocument,
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
    /// Ends the running attempts of an instance's earlier incarnations: their outcome is unknown.
    AbandonOrders {
        /// The instance.
        instance: name::InstanceName,
        /// The incarnation that is alive now, or the one after the last that was.
        before_incarnation: amount::IncarnationNumber,
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

/// The latest version of the encoding that this program writes and reads.
const COMMAND_VERSION: u32 = 1;

/// The names of the command kinds in the encoding.
const COMMAND_KINDS: [&str; 13] = [
    "confirm_plan",
    "confirm_delta",
    "give_key",
    "withdraw_key",
    "declare",
    "start_order",
    "finish_order",
    "abandon_orders",
    "reserve_memory",
    "advance_reservation",
    "release_reservation",
    "adopt_replica",
    "retire_server",
];

/// The version alone, which is read before the rest.
#[derive(Debug, Deserialize)]
struct CommandHeader {
    version: u32,
}

/// The version and the name of the command's kind.
#[derive(Debug, Deserialize)]
#[expect(
    clippy::zero_sized_map_values,
    reason = "the content of an unknown kind is skipped"
)]
struct CommandKind {
    command: collections::BTreeMap<String, de::IgnoredAny>,
}

/// A command that is written.
#[derive(Debug, Serialize)]
struct EncodedCommand<'a> {
    version: u32,
    command: &'a ControlCommand,
}

/// A command that is read.
#[derive(Debug, Deserialize)]
struct DecodedCommand {
    command: ControlCommand,
}

impl ControlCommand {
    /// Returns the command that puts the wanted intent in force.
    ///
    /// `current` is the intent in force at the proposer. The command grows with what changes: where
    /// the intent has changed meanwhile, the base is no longer the latest and the plan conflicts.
    #[must_use]
    pub fn confirm(
        request: control::OperatorRequest,
        base: amount::RevisionNumber,
        current: &intent::FleetIntent,
        wanted: &intent::FleetIntent,
        digest: String,
        now_ms: u64,
    ) -> Self {
        Self::ConfirmDelta {
            request,
            base,
            delta: intent::IntentDelta::between(current, wanted),
            wanted: wanted.content_digest(),
            digest,
            now_ms,
        }
    }

    /// Returns the command as bytes for the log: `MessagePack` with named fields, the version
    /// first.
    ///
    /// # Panics
    ///
    /// Never: writing to memory does not fail, and each command has a `MessagePack` form.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let command = EncodedCommand {
            version: COMMAND_VERSION,
            command: self,
        };
        rmp_serde::to_vec_named(&command).expect("a command has a MessagePack form")
    }

    /// Reads a command from the log.
    ///
    /// # Errors
    ///
    /// Fails for a later version, an unknown kind, an unknown field and malformed bytes. A voter
    /// that gets an error must stop: to skip an entry would let its state differ from the others'.
    pub fn decode(bytes: &[u8]) -> Result<Self, error::DomainError> {
        let header: CommandHeader = codec::decode(bytes).map_err(malformed)?;
        if header.version > COMMAND_VERSION {
            return error::CommandVersionSnafu {
                found: header.version,
                known: COMMAND_VERSION,
            }
            .fail();
        }
        match codec::decode::<DecodedCommand>(bytes) {
            Ok(read) => Ok(read.command),
            Err(source) => Err(unknown_kind_error(bytes).unwrap_or_else(|| malformed(source))),
        }
    }

    /// Returns the replica that the command reserves or adopts.
    pub(crate) fn replica_request(&self) -> Option<placement::ReplicaRequest> {
        match self {
            Self::ReserveMemory {
                server,
                incarnation,
                artifact,
                bytes,
                sender,
                sender_incarnation,
                ..
            }
            | Self::AdoptReplica {
                server,
                incarnation,
                artifact,
                bytes,
                sender,
                sender_incarnation,
            } => Some(placement::ReplicaRequest {
                server: server.clone(),
                incarnation: *incarnation,
                artifact: artifact.clone(),
                bytes: *bytes,
                sender: sender.clone(),
                sender_incarnation: *sender_incarnation,
            }),
            _ => None,
        }
    }
}

fn malformed(source: rmp_serde::decode::Error) -> error::DomainError {
    error::DomainError::CommandMalformed { source }
}

/// Returns the error for a command of a kind that this program does not know.
fn unknown_kind_error(bytes: &[u8]) -> Option<error::DomainError> {
    let read: CommandKind = codec::decode(bytes).ok()?;
    let kind = read.command.into_keys().next()?;
    if COMMAND_KINDS.contains(&kind.as_str()) {
        return None;
    }
    Some(error::CommandKindSnafu { kind }.build())
}
