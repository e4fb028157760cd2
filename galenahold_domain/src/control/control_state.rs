//! The control group's replicated state.

use std::sync;

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::control;
use crate::digest;
use crate::error;
use crate::intent;
use crate::key;
use crate::name;
use crate::order;
use crate::placement;

/// The latest version of the snapshot that this program writes and reads.
const SNAPSHOT_VERSION: u32 = 1;

/// The most reasons that an outcome carries.
const MAX_REASONS: usize = 100;

/// The most lines of a plan that a conflict repeats.
const MAX_SUMMARY_LINES: usize = 20;

/// The most characters of a line that a conflict repeats.
const MAX_SUMMARY_CHARACTERS: usize = 300;

/// The control group's replicated state: what all voters reach by applying the log in order.
///
/// It depends on nothing but the commands and their fencing numbers. The caller applies each
/// committed entry once, in order.
///
/// A plan is refused unless its base is the revision that last changed the intent, or one after it:
/// keys that were given or withdrawn since do not touch what the plan says.
#[derive(Debug, Clone, Default)]
pub struct ControlState {
    parts: StateParts,
}

/// What a snapshot holds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct StateParts {
    applied: amount::FencingNumber,
    now_ms: u64,
    view: sync::Arc<control::ConfigurationView>,
    intent_revision: amount::RevisionNumber,
    author: Option<PlanAuthor>,
    history: control::ChangeHistory,
    withdrawn: control::WithdrawnKeys,
    operators: control::OperatorLedger,
    orders: order::OrderLedger,
    reservations: placement::ReservationTable,
}

/// Who put the intent in force, and what that changed.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PlanAuthor {
    operator: name::OperatorName,
    summary: Vec<String>,
}

/// The version alone, which is read before the rest.
#[derive(Debug, Deserialize)]
struct SnapshotHeader {
    version: u32,
}

/// A snapshot that is written.
#[derive(Debug, Serialize)]
struct WrittenSnapshot<'a> {
    version: u32,
    state: &'a StateParts,
}

/// A snapshot that is read.
#[derive(Debug, Deserialize)]
struct ReadSnapshot {
    state: StateParts,
}

impl ControlState {
    /// Returns the state before the first command.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the state before the first command, with other bounds of the order ledger.
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

    /// Returns the state as bytes: `MessagePack` with named fields, the version first.
    ///
    /// Equal states give equal bytes.
    ///
    /// # Panics
    ///
    /// Never: writing to memory does not fail, and each part has a `MessagePack` form.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot = WrittenSnapshot {
            version: SNAPSHOT_VERSION,
            state: &self.parts,
        };
        rmp_serde::to_vec_named(&snapshot).expect("the state has a MessagePack form")
    }

    /// Restores the state from a snapshot. Unknown fields are left out.
    ///
    /// # Errors
    ///
    /// Fails for a later version than this program knows, and for bytes that are no snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, error::DomainError> {
        let header: SnapshotHeader = rmp_serde::from_slice(bytes).map_err(snapshot_malformed)?;
        if header.version > SNAPSHOT_VERSION {
            return error::SnapshotVersionSnafu {
                found: header.version,
                known: SNAPSHOT_VERSION,
            }
            .fail();
        }
        let snapshot: ReadSnapshot = rmp_serde::from_slice(bytes).map_err(snapshot_malformed)?;
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
        sync::Arc::clone(&self.parts.view)
    }

    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> amount::RevisionNumber {
        self.parts.view.revision
    }

    /// Returns the changes after a revision, the oldest first.
    ///
    /// Returns none where one is no longer kept, and where the revision is after the one in force:
    /// the caller then sends the view, which an instance that is ahead refuses.
    #[must_use]
    pub fn changes_since(
        &self,
        revision: amount::RevisionNumber,
    ) -> Option<Vec<control::ConfigurationChange>> {
        self.parts.history.since(revision, self.revision())
    }

    /// Returns the reservations of memory.
    #[must_use]
    pub fn reservations(&self) -> &placement::ReservationTable {
        &self.parts.reservations
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
            | control::ControlCommand::GiveKey {
                request, now_ms, ..
            }
            | control::ControlCommand::WithdrawKey {
                request, now_ms, ..
            } => self.answer_operator(request, *now_ms, command),
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
        }
    }

    fn answer_operator(
        &mut self,
        request: &control::OperatorRequest,
        now_ms: u64,
        command: &control::ControlCommand,
    ) -> control::ControlOutcome {
        self.now_ms = self.now_ms.max(now_ms);
        let content = content_of(command);
        if let Some(outcome) = self.operators.answer(request, content) {
            return outcome;
        }
        let outcome = self.apply_configuration(command);
        self.operators
            .record(request, content, &outcome, self.now_ms);
        outcome
    }

    fn apply_configuration(
        &mut self,
        command: &control::ControlCommand,
    ) -> control::ControlOutcome {
        match command {
            control::ControlCommand::ConfirmPlan {
                request,
                base,
                intent,
                digest,
                ..
            } => self.confirm_plan(&request.operator, *base, intent, digest),
            control::ControlCommand::GiveKey { base, record, .. } => self.give_key(*base, record),
            control::ControlCommand::WithdrawKey { id, .. } => self.withdraw_key(id),
            _ => invalid("this command is not an operator's"),
        }
    }

    fn confirm_plan(
        &mut self,
        operator: &name::OperatorName,
        base: amount::RevisionNumber,
        wanted: &intent::FleetIntent,
        digest: &str,
    ) -> control::ControlOutcome {
        if base > self.view.revision {
            return self.base_ahead(base);
        }
        if base < self.intent_revision {
            return self.conflict(base);
        }
        let validation = intent::IntentValidation::of(wanted, None);
        if !validation.is_valid() {
            return control::ControlOutcome::Invalid {
                reasons: bounded(validation.lines(), MAX_REASONS),
            };
        }
        let wanted = wanted.clone().normalized();
        let plan = intent::IntentPlan::between_normalized(base, &self.view.intent, &wanted);
        if plan.digest != digest {
            return control::ControlOutcome::DigestDiffers {
                expected: plan.digest,
            };
        }
        if !plan.is_empty() {
            self.put_in_force(operator, &plan, &wanted);
        }
        self.changed()
    }

    fn put_in_force(
        &mut self,
        operator: &name::OperatorName,
        plan: &intent::IntentPlan,
        wanted: &intent::FleetIntent,
    ) {
        let revision = self.view.revision.next();
        let change = plan.change(revision, wanted);
        if let control::ConfigurationChange::Intent { removed_teams, .. } = &change {
            self.withdraw_of_teams(removed_teams, revision);
        }
        self.change(change);
        self.intent_revision = revision;
        self.author = Some(PlanAuthor {
            operator: operator.clone(),
            summary: summary_of(plan),
        });
    }

    fn withdraw_of_teams(&mut self, teams: &[name::TeamName], revision: amount::RevisionNumber) {
        if teams.is_empty() {
            return;
        }
        for record in self.view.keys.iter() {
            if teams.contains(&record.team) {
                self.withdrawn.push(&record.id, revision);
            }
        }
    }

    fn give_key(
        &mut self,
        base: amount::RevisionNumber,
        record: &key::KeyRecord,
    ) -> control::ControlOutcome {
        if base > self.view.revision {
            return self.base_ahead(base);
        }
        if self.view.keys.get(&record.id) == Some(record) {
            return self.changed();
        }
        if let Some(reason) = self.key_refusal(base, record) {
            return invalid(&reason);
        }
        self.change(control::ConfigurationChange::KeyGiven {
            revision: self.view.revision.next(),
            record: record.clone(),
        });
        self.changed()
    }

    fn key_refusal(&self, base: amount::RevisionNumber, record: &key::KeyRecord) -> Option<String> {
        let id = &record.id;
        if let Some(fault) = record.fault() {
            return Some(format!("key `{id}`: {fault}"));
        }
        if self.view.keys.get(id).is_some() {
            return Some(format!("key `{id}`: it is given already; make another"));
        }
        if self.withdrawn.contains(id) {
            return Some(format!("key `{id}`: it was withdrawn; make another"));
        }
        let floor = self.withdrawn.floor();
        if base < floor {
            return Some(format!(
                "base {base}: the request is older than revision {floor}; make another key"
            ));
        }
        if self.view.intent.team(&record.team).is_none() {
            return Some(format!("team `{}`: there is no such team", record.team));
        }
        None
    }

    fn withdraw_key(&mut self, id: &name::KeyId) -> control::ControlOutcome {
        if self.withdrawn.contains(id) {
            return self.changed();
        }
        if self.view.keys.get(id).is_none() {
            return control::ControlOutcome::NoSuchKey { id: id.clone() };
        }
        let revision = self.view.revision.next();
        self.withdrawn.push(id, revision);
        self.change(control::ConfigurationChange::KeyWithdrawn {
            revision,
            id: id.clone(),
        });
        self.changed()
    }

    /// Puts a change in force that makes the next revision.
    fn change(&mut self, change: control::ConfigurationChange) {
        let applied = sync::Arc::make_mut(&mut self.view).apply(&change);
        debug_assert!(applied.is_ok(), "the change makes the next revision");
        self.history.push(change);
    }

    fn changed(&self) -> control::ControlOutcome {
        control::ControlOutcome::Changed {
            revision: self.view.revision,
        }
    }

    fn base_ahead(&self, base: amount::RevisionNumber) -> control::ControlOutcome {
        invalid(&format!(
            "base {base}: revision {} is in force; read the configuration again",
            self.view.revision
        ))
    }

    fn conflict(&self, base: amount::RevisionNumber) -> control::ControlOutcome {
        let author = self.author.clone().unwrap_or(PlanAuthor {
            operator: name::OperatorName::from(""),
            summary: Vec::new(),
        });
        control::ControlOutcome::Conflict(control::PlanConflict {
            base,
            current: self.view.revision,
            operator: author.operator,
            summary: author.summary,
        })
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
                refusal => invalid(&refusal.to_string()),
            },
            control::ControlCommand::AbandonOrders {
                instance,
                before_incarnation,
                now_ms,
            } => control::ControlOutcome::OrdersAbandoned {
                count: self.orders.abandon(instance, *before_incarnation, *now_ms),
            },
            _ => invalid("this command is not about orders"),
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
            _ => invalid("this command is not about reservations"),
        }
    }

    fn reserve(
        &mut self,
        fence: amount::FencingNumber,
        command: &control::ControlCommand,
        capacity: amount::ByteCount,
    ) -> control::ControlOutcome {
        let Some(request) = command.replica_request() else {
            return invalid("this command reserves nothing");
        };
        let intent = &self.view.intent;
        reserved(self.reservations.reserve(fence, &request, capacity, intent))
    }

    fn adopt(
        &mut self,
        fence: amount::FencingNumber,
        command: &control::ControlCommand,
    ) -> control::ControlOutcome {
        let Some(request) = command.replica_request() else {
            return invalid("this command adopts nothing");
        };
        reserved(self.reservations.adopt(fence, &request))
    }
}

fn reserved(
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

fn invalid(reason: &str) -> control::ControlOutcome {
    control::ControlOutcome::Invalid {
        reasons: vec![reason.to_owned()],
    }
}

/// Returns the first lines, and how many there are besides.
fn bounded(mut lines: Vec<String>, most: usize) -> Vec<String> {
    if lines.len() > most {
        let besides = lines.len() - most;
        lines.truncate(most);
        lines.push(format!("and {besides} more"));
    }
    lines
}

fn summary_of(plan: &intent::IntentPlan) -> Vec<String> {
    let shortened = plan
        .lines()
        .into_iter()
        .map(|line| line.chars().take(MAX_SUMMARY_CHARACTERS).collect());
    bounded(shortened.collect(), MAX_SUMMARY_LINES)
}

/// Returns a hash of what an operator asked for, without the time and the base of a key.
fn content_of(command: &control::ControlCommand) -> digest::ShortHash {
    let digest = match command {
        control::ControlCommand::ConfirmPlan {
            base,
            intent,
            digest,
            ..
        } => {
            let intent = serde_json::to_vec(intent).unwrap_or_default();
            let base = base.0.to_be_bytes();
            digest::ContentDigest::of_parts(&[b"plan", &base, digest.as_bytes(), &intent])
        }
        control::ControlCommand::GiveKey { record, .. } => digest::ContentDigest::of_parts(&[
            b"give",
            record.id.as_bytes(),
            record.team.as_bytes(),
            record.salt.as_bytes(),
            record.hash.as_bytes(),
        ]),
        control::ControlCommand::WithdrawKey { id, .. } => {
            digest::ContentDigest::of_parts(&[b"withdraw", id.as_bytes()])
        }
        _ => digest::ContentDigest::of_parts(&[]),
    };
    digest.short()
}
