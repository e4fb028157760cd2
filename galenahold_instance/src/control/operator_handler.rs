//! Handles the calls of operators at the leader.

use std::sync;
use std::time;

use galenahold_domain::control;
use galenahold_domain::intent;
use galenahold_wire::message;
use serde_json::{Value, json};

use crate::control as group;
use crate::registry;
use crate::timer;

/// Handles the calls of operators at the leader.
pub(crate) struct OperatorHandler {
    member: sync::Arc<group::ControlGroup>,
    members: group::MemberHandler,
    registry: registry::ServerRegistry,
}

impl OperatorHandler {
    /// Creates a handler.
    pub(crate) fn new(
        member: sync::Arc<group::ControlGroup>,
        registry: registry::ServerRegistry,
    ) -> Self {
        Self {
            members: group::MemberHandler::new(sync::Arc::clone(&member)),
            member,
            registry,
        }
    }

    /// Handles a call.
    pub(crate) async fn answer(&self, call: message::OperatorCall) -> message::ControlReply {
        let result = self.dispatch(call).await;
        // The data that was read may be stale unless this member is still the leader.
        if !self.member.is_leader() {
            return message::ControlReply::OutcomeUnknown;
        }
        message::ControlReply::Operator(match result {
            Ok(document) => message::OperatorReply::Done {
                body: document.to_string(),
            },
            Err(error) => message::OperatorReply::Failed(error),
        })
    }

    async fn dispatch(&self, call: message::OperatorCall) -> Result<Value, message::OperatorError> {
        match call {
            message::OperatorCall::Plan { intent } => self.plan(&intent),
            message::OperatorCall::Confirm {
                request,
                base,
                digest,
                intent,
            } => {
                self.check(&intent)?;
                let view = self.member.state().read(control::ControlState::view);
                let command = control::ControlCommand::confirm(
                    request,
                    base,
                    &view.intent,
                    &intent,
                    digest,
                    timer::epoch_ms(),
                );
                self.command(&command).await
            }
            message::OperatorCall::GiveKey {
                request,
                base,
                record,
            } => {
                let id = record.id.clone();
                let command = control::ControlCommand::GiveKey {
                    request,
                    base,
                    record,
                    now_ms: timer::epoch_ms(),
                };
                let mut document = self.command(&command).await?;
                document["id"] = json!(id);
                Ok(document)
            }
            message::OperatorCall::WithdrawKey { request, id } => {
                let command = control::ControlCommand::WithdrawKey {
                    request,
                    id,
                    now_ms: timer::epoch_ms(),
                };
                self.command(&command).await
            }
            message::OperatorCall::ShowIntent => Ok(self.show_intent()),
            message::OperatorCall::ShowServers => Ok(self.show_servers()),
            message::OperatorCall::ShowReplicas => Ok(self.show_replicas()),
            message::OperatorCall::ShowOrders => Ok(self.show_orders()),
            message::OperatorCall::Status => Ok(self.members.status()),
            message::OperatorCall::AddMember { name, .. } => self.members.add(&name).await,
            message::OperatorCall::PromoteMember { name } => self.members.promote(&name).await,
            message::OperatorCall::RemoveMember { name } => self.members.remove(&name).await,
        }
    }

    fn plan(&self, desired: &intent::FleetIntent) -> Result<Value, message::OperatorError> {
        self.check(desired)?;
        let view = self.member.state().read(control::ControlState::view);
        let plan = intent::IntentPlan::between(view.revision, &view.intent, desired);
        Ok(json!({
            "base": plan.base,
            "digest": plan.digest,
            "steps": plan.lines(),
        }))
    }

    /// Checks that an intent is consistent and fits the engines that announced themselves.
    fn check(&self, desired: &intent::FleetIntent) -> Result<(), message::OperatorError> {
        let validation = intent::IntentValidation::of(desired, self.largest_engine());
        if validation.is_valid() {
            return Ok(());
        }
        Err(invalid_error(&validation.lines()))
    }

    async fn command(
        &self,
        command: &control::ControlCommand,
    ) -> Result<Value, message::OperatorError> {
        match self.member.command(command).await {
            Ok(outcome) => outcome_document(outcome),
            Err(group::CommandError::NotCommitted) => Err(message::OperatorError {
                kind: message::OperatorErrorKind::NoLeader,
                message: "the leader could not commit the change; nothing changed".to_owned(),
                details: None,
            }),
            Err(group::CommandError::Unknown) => Err(message::OperatorError {
                kind: message::OperatorErrorKind::OutcomeUnknown,
                message: "the change may have been made; repeat it with the same request number"
                    .to_owned(),
                details: None,
            }),
        }
    }

    fn largest_engine(&self) -> Option<galenahold_domain::amount::ByteCount> {
        self.registry
            .entries()
            .iter()
            .map(|entry| entry.announcement.memory_bytes)
            .filter(|bytes| bytes.0 > 0)
            .max()
    }

    fn show_intent(&self) -> Value {
        let view = self.member.state().read(control::ControlState::view);
        let keys: Vec<Value> = view
            .keys
            .iter()
            .map(|record| json!({ "id": record.id, "team": record.team }))
            .collect();
        json!({ "revision": view.revision, "intent": &*view.intent, "keys": keys })
    }

    fn show_servers(&self) -> Value {
        let now = time::Instant::now();
        let servers: Vec<Value> = self
            .registry
            .entries()
            .iter()
            .map(|entry| {
                json!({
                    "age_ms": u64::try_from(entry.age(now).as_millis()).unwrap_or(u64::MAX),
                    "announcement": &*entry.announcement,
                })
            })
            .collect();
        json!({ "servers": servers })
    }

    fn show_replicas(&self) -> Value {
        self.member.state().read(|state| {
            let reservations: Vec<_> = state.reservations().iter().collect();
            json!({ "reservations": reservations })
        })
    }

    fn show_orders(&self) -> Value {
        let statistics = self
            .member
            .state()
            .read(control::ControlState::order_statistics);
        json!({ "orders": statistics })
    }
}

fn outcome_document(outcome: control::ControlOutcome) -> Result<Value, message::OperatorError> {
    match outcome {
        control::ControlOutcome::Changed { revision } => Ok(json!({ "revision": revision })),
        control::ControlOutcome::Conflict(conflict) => Err(message::OperatorError {
            kind: message::OperatorErrorKind::Conflict,
            message: format!(
                "the plan was made against revision {}, and {} has since activated revision {}",
                conflict.base, conflict.operator, conflict.current
            ),
            details: serde_json::to_string(&conflict).ok(),
        }),
        control::ControlOutcome::DigestDiffers { expected } => Err(message::OperatorError {
            kind: message::OperatorErrorKind::Conflict,
            message: "the digest does not match the steps of the plan; make the plan again"
                .to_owned(),
            details: serde_json::to_string(&json!({ "expected": expected })).ok(),
        }),
        control::ControlOutcome::Invalid { reasons } => Err(invalid_error(&reasons)),
        control::ControlOutcome::RequestReused => Err(message::OperatorError {
            kind: message::OperatorErrorKind::Conflict,
            message: "the request number was used for another request; use a new one".to_owned(),
            details: None,
        }),
        control::ControlOutcome::NoSuchKey { id } => Err(message::OperatorError {
            kind: message::OperatorErrorKind::NotFound,
            message: format!("there is no key {id}"),
            details: None,
        }),
        other => Err(message::OperatorError {
            kind: message::OperatorErrorKind::Refused,
            message: format!("the change was not made: {other:?}"),
            details: None,
        }),
    }
}

fn invalid_error(reasons: &[String]) -> message::OperatorError {
    message::OperatorError {
        kind: message::OperatorErrorKind::Invalid,
        message: reasons.join("; "),
        details: serde_json::to_string(&json!({ "reasons": reasons })).ok(),
    }
}
