//! The commands of the control group's replicated log, and their encoding.

use std::collections;

use serde::de;
use serde::{Deserialize, Serialize};

use crate::amount;
use crate::codec;
use crate::control;
use crate::crash;
use crate::declaration;
use crate::error;
use crate::fleet;
use crate::intent;
use crate::key;
use crate::name;
use crate::order;
use crate::placement;

/// A command of the control group's replicated log.
///
/// The `now_ms` fields hold the proposer's clock in milliseconds since the Unix epoch. They only
/// bound how long finished orders and answered requests are kept, and the state's own time never
/// goes back.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ControlCommand {
    /// Puts a plan in force if the intent has not changed since the plan's base.
    ConfirmPlan {
        /// The operator and the number of the request.
        request: control::OperatorRequest,
        /// The revision that the plan was made against.
        base: amount::RevisionNumber,
        /// The whole wanted intent.
        intent: intent::FleetIntent,
        /// The digest of the plan that the operator confirmed.
        digest: String,
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// Puts a plan in force if the intent has not changed since the plan's base; the command
    /// contains only the difference.
    ///
    /// [`ControlCommand::confirm`] builds this command.
    ConfirmDelta {
        /// The operator and the number of the request.
        request: control::OperatorRequest,
        /// The revision that the plan was made against.
        base: amount::RevisionNumber,
        /// The difference from the intent that was in force at the proposer.
        delta: intent::IntentDelta,
        /// The digest of the whole wanted intent, by which a resend is recognized.
        wanted: String,
        /// The digest of the plan that the operator confirmed.
        digest: String,
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// Gives a key to a team.
    GiveKey {
        /// The operator and the number of the request.
        request: control::OperatorRequest,
        /// A revision that the operator saw. A base older than the latest withdrawal that the state
        /// no longer remembers is refused, so that an old resend never restores a withdrawn key.
        base: amount::RevisionNumber,
        /// The record of the key.
        record: key::KeyRecord,
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// The operator and the number of the request.
        request: control::OperatorRequest,
        /// The public part of the key.
        id: name::KeyId,
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// Puts a whole document in force if its number is higher than that of the document in force.
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
        /// The instance that will send the order to a backend server.
        instance: name::InstanceName,
        /// That instance's incarnation; a repeat of the command by it gets the same attempt.
        incarnation: amount::IncarnationNumber,
        /// The number of the command at that instance, by which a resend is recognized.
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
    /// Ends the running attempts of an instance's earlier incarnations with an unknown outcome.
    AbandonOrders {
        /// The instance.
        instance: name::InstanceName,
        /// The incarnation that runs now, or the one after the last that ran.
        before_incarnation: amount::IncarnationNumber,
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// Reserves memory for a replica before its load order is sent.
    ReserveMemory {
        /// The backend server.
        server: name::ServerName,
        /// The backend server's incarnation.
        incarnation: amount::IncarnationNumber,
        /// The accelerator memory of the backend server.
        capacity: amount::ByteCount,
        /// The model or adapter to load.
        artifact: placement::ReplicaArtifact,
        /// The memory that the replica takes.
        bytes: amount::ByteCount,
        /// The instance that will send the load order.
        sender: name::InstanceName,
        /// That instance's incarnation.
        sender_incarnation: amount::IncarnationNumber,
    },
    /// Moves a reservation to another state.
    AdvanceReservation {
        /// The reservation.
        id: placement::ReservationId,
        /// The new state.
        state: placement::ReservationState,
        /// The instance that will send the order for the transition, if it needs one.
        sender: name::InstanceName,
        /// That instance's incarnation.
        sender_incarnation: amount::IncarnationNumber,
    },
    /// Frees a reservation after the backend server reported that the replica is gone.
    ReleaseReservation {
        /// The reservation.
        id: placement::ReservationId,
    },
    /// Records a replica that a backend server reported and that was never reserved, so that its
    /// memory counts.
    AdoptReplica {
        /// The backend server.
        server: name::ServerName,
        /// The backend server's incarnation.
        incarnation: amount::IncarnationNumber,
        /// The model or adapter that is loaded.
        artifact: placement::ReplicaArtifact,
        /// The memory that the replica takes.
        bytes: amount::ByteCount,
        /// The instance that received the report.
        sender: name::InstanceName,
        /// That instance's incarnation.
        sender_incarnation: amount::IncarnationNumber,
    },
    /// Frees all reservations of earlier incarnations of a backend server.
    RetireServer {
        /// The backend server.
        server: name::ServerName,
        /// The incarnation that runs now.
        incarnation: amount::IncarnationNumber,
    },
    /// Records that a backend server takes no new requests until its next start.
    Depart {
        /// The server, its start and whether it still finishes requests.
        departure: fleet::ServerDeparture,
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// Records a crash of a backend server and the calls that may have caused it.
    RecordCrash {
        /// The crash as an entry instance saw it.
        report: crash::CrashReport,
        /// Milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// Records that parts of prompts are harmless: answers to calls with them have begun.
    ClearSuspects {
        /// The parts.
        keys: Vec<crash::PromptKey>,
    },
}

/// The version of the encoding that this program writes, and the latest that it reads.
const COMMAND_VERSION: u32 = 1;

/// The names of the command kinds in the encoding.
const COMMAND_KINDS: [&str; 16] = [
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
    "depart",
    "record_crash",
    "clear_suspects",
];

/// The version of an encoded command, which is read before the rest.
#[derive(Debug, Deserialize)]
struct CommandHeader {
    version: u32,
}

/// The name of a command's kind, without the command's content.
#[derive(Debug, Deserialize)]
#[expect(
    clippy::zero_sized_map_values,
    reason = "the content of an unknown kind is skipped"
)]
struct CommandKind {
    command: collections::BTreeMap<String, de::IgnoredAny>,
}

/// The form in which a command is encoded.
#[derive(Debug, Serialize)]
struct EncodedCommand<'a> {
    version: u32,
    command: &'a ControlCommand,
}

/// The form in which a command is decoded, after its version was checked.
#[derive(Debug, Deserialize)]
struct DecodedCommand {
    command: ControlCommand,
}

impl ControlCommand {
    /// Returns a [`ControlCommand::ConfirmDelta`] that puts the wanted intent in force.
    ///
    /// `current` is the intent in force at the proposer. The size of the command grows with the
    /// difference, not with the intent. If the intent in force changes before the command is
    /// applied, the base is outdated and the plan conflicts.
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

    /// Encodes the command for the log as `MessagePack` with named fields, the version first.
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

    /// Decodes a command from the log.
    ///
    /// # Errors
    ///
    /// Fails for a later version, an unknown kind, an unknown field and malformed bytes. A voter
    /// that gets an error must stop: if it skipped the entry, its state would differ from that of
    /// the other voters.
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

    /// Returns the replica that the command reserves or adopts, if it does.
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
