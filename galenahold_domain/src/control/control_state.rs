//! The state machine of the control group, its snapshots and its queries.

use std::sync;

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::codec;
use crate::control;
use crate::crash;
use crate::error;
use crate::fleet;
use crate::order;
use crate::placement;

/// The version of the snapshot that this program writes, and the latest that it reads.
const SNAPSHOT_VERSION: u32 = 1;

/// The control group's replicated state, which all voters reach by applying the log in order.
///
/// The state depends only on the commands and their fencing numbers. The caller applies each
/// committed entry once, in the order of the log.
#[derive(Debug, Clone, Default)]
pub struct ControlState {
    parts: StateParts,
}

/// The parts of the state, as a snapshot stores them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct StateParts {
    applied: amount::FencingNumber,
    configuration: control::ConfigurationLedger,
    orders: order::OrderLedger,
    reservations: placement::ReservationTable,
    #[serde(default)]
    departures: fleet::DepartureLedger,
    #[serde(default)]
    crashes: crash::CrashLedger,
}

/// The version of a snapshot, which is read before the rest.
#[derive(Debug, Deserialize)]
struct SnapshotHeader {
    version: u32,
}

/// The form in which a snapshot is encoded.
#[derive(Debug, Serialize)]
struct EncodedSnapshot<'a> {
    version: u32,
    state: &'a StateParts,
}

/// The form in which a snapshot is decoded, after its version was checked.
#[derive(Debug, Deserialize)]
struct DecodedSnapshot {
    state: StateParts,
}

impl ControlState {
    /// Returns the state before the first command.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the state before the first command, with the given limits of the order ledger.
    #[must_use]
    pub fn with_order_limits(limits: order::OrderLimits) -> Self {
        let mut state = Self::default();
        state.parts.orders = order::OrderLedger::with_limits(limits);
        state
    }

    /// Applies a committed command and returns its outcome.
    ///
    /// `fence` is the term and the index of the log entry.
    pub fn apply(
        &mut self,
        fence: amount::FencingNumber,
        command: &control::ControlCommand,
    ) -> control::ControlOutcome {
        self.parts.applied = fence;
        self.parts.apply(fence, command)
    }

    /// Encodes the state as `MessagePack` with named fields, the version first.
    ///
    /// Equal states give equal bytes.
    ///
    /// # Panics
    ///
    /// Never: writing to memory does not fail, and each part has a `MessagePack` form.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot = EncodedSnapshot {
            version: SNAPSHOT_VERSION,
            state: &self.parts,
        };
        rmp_serde::to_vec_named(&snapshot).expect("the state has a MessagePack form")
    }

    /// Restores the state from a snapshot. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Fails for a later version than this program knows, and for bytes that are not a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, error::DomainError> {
        let header: SnapshotHeader = codec::decode(bytes).map_err(snapshot_malformed)?;
        if header.version > SNAPSHOT_VERSION {
            return error::SnapshotVersionSnafu {
                found: header.version,
                known: SNAPSHOT_VERSION,
            }
            .fail();
        }
        let snapshot: DecodedSnapshot = codec::decode(bytes).map_err(snapshot_malformed)?;
        Ok(Self {
            parts: snapshot.state,
        })
    }

    /// Returns the fencing number of the latest applied command.
    #[must_use]
    pub fn applied(&self) -> amount::FencingNumber {
        self.parts.applied
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn view(&self) -> sync::Arc<control::ConfigurationView> {
        sync::Arc::clone(self.parts.configuration.view())
    }

    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> amount::RevisionNumber {
        self.parts.configuration.view().revision
    }

    /// Returns the changes of the configuration after a revision, the oldest first.
    ///
    /// Returns `None` if one of them is no longer kept or the revision is after the one in force.
    /// The caller then sends the whole view, which an instance that is ahead refuses.
    #[must_use]
    pub fn changes_since(
        &self,
        revision: amount::RevisionNumber,
    ) -> Option<Vec<control::ConfigurationChange>> {
        self.parts.configuration.changes_since(revision)
    }

    /// Returns the reservations of memory.
    #[must_use]
    pub fn reservations(&self) -> &placement::ReservationTable {
        &self.parts.reservations
    }

    /// Returns the departures of backend servers.
    #[must_use]
    pub fn departures(&self) -> &fleet::DepartureLedger {
        &self.parts.departures
    }

    /// Returns the crashes of backend servers and the prompts that caused them.
    #[must_use]
    pub fn crashes(&self) -> &crash::CrashLedger {
        &self.parts.crashes
    }

    /// Returns figures of the order ledger.
    #[must_use]
    pub fn order_statistics(&self) -> order::OrderStatistics {
        self.parts.orders.statistics()
    }
}

impl StateParts {
    fn apply(
        &mut self,
        fence: amount::FencingNumber,
        command: &control::ControlCommand,
    ) -> control::ControlOutcome {
        match command {
            control::ControlCommand::ConfirmPlan {
                request, now_ms, ..
            }
            | control::ControlCommand::ConfirmDelta {
                request, now_ms, ..
            }
            | control::ControlCommand::GiveKey {
                request, now_ms, ..
            }
            | control::ControlCommand::WithdrawKey {
                request, now_ms, ..
            } => self.configuration.apply_request(request, *now_ms, command),
            control::ControlCommand::Declare { document } => self.configuration.declare(document),
            control::ControlCommand::StartOrder { .. }
            | control::ControlCommand::FinishOrder { .. }
            | control::ControlCommand::AbandonOrders { .. } => self.apply_order(command),
            control::ControlCommand::ReserveMemory { .. }
            | control::ControlCommand::AdvanceReservation { .. }
            | control::ControlCommand::ReleaseReservation { .. }
            | control::ControlCommand::AdoptReplica { .. }
            | control::ControlCommand::RetireServer { .. } => {
                self.apply_reservation(fence, command)
            }
            control::ControlCommand::Depart { departure, now_ms } => {
                self.departures.record(departure.clone(), *now_ms);
                control::ControlOutcome::DepartureRecorded
            }
            control::ControlCommand::RecordCrash { report, now_ms } => {
                self.record_crash(report, *now_ms);
                control::ControlOutcome::CrashRecorded
            }
            control::ControlCommand::ClearSuspects { keys } => {
                self.crashes.clear(keys);
                control::ControlOutcome::CrashRecorded
            }
        }
    }

    fn record_crash(&mut self, report: &crash::CrashReport, now_ms: u64) {
        // The end of a server that announced its departure is no crash.
        let departure = self.departures.get(&report.server);
        if !departure.is_some_and(|departure| departure.covers(report.started_ms)) {
            self.crashes.record(report, now_ms);
        }
    }

    fn apply_order(&mut self, command: &control::ControlCommand) -> control::ControlOutcome {
        match command {
            control::ControlCommand::StartOrder {
                key,
                digest,
                instance,
                incarnation,
                call,
                now_ms,
            } => {
                let owner = order::OrderOwner {
                    instance: instance.clone(),
                    incarnation: *incarnation,
                    call: *call,
                };
                let start = self.orders.start(key, digest, &owner, *now_ms);
                control::ControlOutcome::Order(start)
            }
            control::ControlCommand::FinishOrder {
                key,
                attempt,
                outcome,
                now_ms,
            } => match self.orders.finish(key, *attempt, outcome, *now_ms) {
                order::OrderFinish::Recorded => control::ControlOutcome::OrderRecorded,
                refusal => control::ControlOutcome::invalid(&refusal.to_string()),
            },
            control::ControlCommand::AbandonOrders {
                instance,
                before_incarnation,
                now_ms,
            } => control::ControlOutcome::OrdersAbandoned {
                count: self.orders.abandon(instance, *before_incarnation, *now_ms),
            },
            _ => control::ControlOutcome::invalid(
                "this command does not start, finish or abandon orders",
            ),
        }
    }

    fn apply_reservation(
        &mut self,
        fence: amount::FencingNumber,
        command: &control::ControlCommand,
    ) -> control::ControlOutcome {
        match command {
            control::ControlCommand::ReserveMemory { capacity, .. } => {
                self.reserve(fence, command, *capacity)
            }
            control::ControlCommand::AdvanceReservation {
                id,
                state,
                sender,
                sender_incarnation,
            } => {
                let advanced =
                    self.reservations
                        .advance(fence, *id, *state, sender, *sender_incarnation);
                match advanced {
                    Ok(reservation) => control::ControlOutcome::Advanced(reservation),
                    Err(refusal) => control::ControlOutcome::ReservationRefused {
                        reason: refusal.to_string(),
                    },
                }
            }
            control::ControlCommand::ReleaseReservation { id } => {
                self.reservations.release(*id);
                control::ControlOutcome::ReservationChanged
            }
            control::ControlCommand::AdoptReplica { .. } => self.adopt(fence, command),
            control::ControlCommand::RetireServer {
                server,
                incarnation,
            } => {
                self.reservations.retire(server, *incarnation);
                control::ControlOutcome::ReservationChanged
            }
            _ => control::ControlOutcome::invalid("this command does not change reservations"),
        }
    }

    fn reserve(
        &mut self,
        fence: amount::FencingNumber,
        command: &control::ControlCommand,
        capacity: amount::ByteCount,
    ) -> control::ControlOutcome {
        let Some(request) = command.replica_request() else {
            return control::ControlOutcome::invalid(
                "this command does not describe a replica to reserve",
            );
        };
        let intent = &self.configuration.view().intent;
        reservation_outcome(self.reservations.reserve(fence, &request, capacity, intent))
    }

    fn adopt(
        &mut self,
        fence: amount::FencingNumber,
        command: &control::ControlCommand,
    ) -> control::ControlOutcome {
        let Some(request) = command.replica_request() else {
            return control::ControlOutcome::invalid(
                "this command does not describe a replica to adopt",
            );
        };
        reservation_outcome(self.reservations.adopt(fence, &request))
    }
}

fn reservation_outcome(
    result: Result<placement::MemoryReservation, placement::ReservationRefusal>,
) -> control::ControlOutcome {
    match result {
        Ok(reservation) => control::ControlOutcome::Reserved(reservation),
        Err(refusal) => control::ControlOutcome::NotReserved {
            reason: refusal.to_string(),
        },
    }
}

fn snapshot_malformed(source: rmp_serde::decode::Error) -> error::DomainError {
    error::DomainError::SnapshotMalformed { source }
}
