//! Answers calls to the leader.

use std::sync;
use std::time;

use galenahold_domain::control;
use galenahold_wire::message;
use tokio::sync::mpsc;

use crate::control as group;
use crate::peer;
use crate::placement;

/// Answers calls to the leader at an instance of the control group, and at others says who leads.
#[derive(Debug, Clone)]
pub(crate) struct ControlHandler {
    parts: Option<sync::Arc<HandlerParts>>,
}

/// What a member of the control group answers calls with.
pub(crate) struct HandlerParts {
    /// The member.
    pub(crate) member: sync::Arc<group::ControlGroup>,
    /// Lends tokens.
    pub(crate) grants: group::GrantHandler,
    /// Answers operators.
    pub(crate) operators: group::OperatorHandler,
    /// Takes news to the placement.
    pub(crate) events: mpsc::UnboundedSender<placement::DriverEvent>,
}

impl std::fmt::Debug for HandlerParts {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("DeskParts").finish_non_exhaustive()
    }
}

impl ControlHandler {
    /// Creates the desk of an instance outside the control group.
    pub(crate) fn outside() -> Self {
        Self { parts: None }
    }

    /// Creates the desk of a member.
    pub(crate) fn member(parts: HandlerParts) -> Self {
        Self {
            parts: Some(sync::Arc::new(parts)),
        }
    }

    /// Begins a leadership.
    pub(crate) fn begin_term(&self, term: u64) {
        if let Some(parts) = &self.parts {
            let view = parts.member.state().read(control::ControlState::view);
            parts.grants.begin(term, active_teams(&view));
        }
    }

    /// Hands messages of another member to the log; returns whether there is one.
    pub(crate) fn deliver(&self, messages: &[Vec<u8>]) -> bool {
        let Some(parts) = &self.parts else {
            return false;
        };
        for message in messages {
            parts.member.deliver(message);
        }
        true
    }

    /// Returns who leads, as far as this instance knows from the log itself.
    pub(crate) fn leader(&self) -> Option<galenahold_domain::name::InstanceName> {
        self.parts.as_ref()?.member.leader()
    }
}

impl peer::LocalHandler for ControlHandler {
    fn is_leader(&self) -> bool {
        self.parts
            .as_ref()
            .is_some_and(|parts| parts.member.is_leader())
    }

    async fn answer(&self, call: message::ControlCall) -> message::ControlReply {
        let Some(parts) = &self.parts else {
            return message::ControlReply::NotLeader { leader: None };
        };
        let Some(term) = parts.member.leading_term() else {
            return message::ControlReply::NotLeader {
                leader: parts.member.leader(),
            };
        };
        match call {
            message::ControlCall::Grant(call) => parts.grant(term, &call),
            message::ControlCall::Demand(report) => {
                parts.notify_placement(placement::DriverEvent::Demand(report))
            }
            message::ControlCall::NeverLeft { id, fence } => {
                parts.notify_placement(placement::DriverEvent::NeverLeft { id, fence })
            }
            message::ControlCall::Command(command) => parts.command(&command).await,
            message::ControlCall::Fleet(_) => message::ControlReply::Refused {
                reason: "this control group keeps no declared services".to_owned(),
            },
            message::ControlCall::Operator(call) => parts.operators.answer(call).await,
        }
    }

    async fn watch(&self, request: message::WatchRequest) -> message::WatchReply {
        let Some(parts) = &self.parts else {
            return message::WatchReply::Unavailable { leader: None };
        };
        parts.watch(&request).await
    }
}

impl HandlerParts {
    fn grant(
        &self,
        term: u64,
        call: &galenahold_routing::rate::GrantCall,
    ) -> message::ControlReply {
        let view = self.member.state().read(control::ControlState::view);
        let reply = self.grants.grant(term, active_teams(&view), call);
        // Tokens lent after the lease's end could be lent again by the next leader.
        if self.member.leading_term() != Some(term) {
            return message::ControlReply::NotLeader {
                leader: self.member.leader(),
            };
        }
        message::ControlReply::Grant(reply)
    }

    fn notify_placement(&self, event: placement::DriverEvent) -> message::ControlReply {
        // The placement ends only with the instance.
        let _ = self.events.send(event);
        message::ControlReply::Taken
    }

    async fn command(&self, command: &control::ControlCommand) -> message::ControlReply {
        let allowed = matches!(
            command,
            control::ControlCommand::StartOrder { .. }
                | control::ControlCommand::FinishOrder { .. }
                | control::ControlCommand::AbandonOrders { .. }
        );
        if !allowed {
            return message::ControlReply::Refused {
                reason: "instances may only put commands about orders into the log".to_owned(),
            };
        }
        match self.member.command(command).await {
            Ok(outcome) => message::ControlReply::Outcome(outcome),
            Err(group::CommandError::NotCommitted) => message::ControlReply::NotLeader {
                leader: self.member.leader(),
            },
            Err(group::CommandError::Unknown) => message::ControlReply::OutcomeUnknown,
        }
    }

    async fn watch(&self, request: &message::WatchRequest) -> message::WatchReply {
        let started = time::Instant::now();
        let hold = time::Duration::from_millis(request.hold_ms);
        let mut applied = self.member.state().subscribe();
        loop {
            applied.mark_unchanged();
            let left = hold.saturating_sub(started.elapsed());
            let reply = self.watch_reply(request, started);
            let unchanged = matches!(
                &reply,
                message::WatchReply::Current {
                    update: message::ConfigurationUpdate::Nothing,
                    drains: None,
                    ..
                }
            );
            if !unchanged || left.is_zero() {
                return reply;
            }
            // The sender lives as long as the member; after the hold time the state is read again.
            let _ = tokio::time::timeout(left, applied.changed()).await;
        }
    }

    /// Returns what is new to the one who waits, confirmed by this member's lease.
    fn watch_reply(
        &self,
        request: &message::WatchRequest,
        started: time::Instant,
    ) -> message::WatchReply {
        // Read before the lease is looked at: a lease that is valid after the reading was valid
        // throughout, so nothing newer was committed elsewhere before this moment.
        let held = started.elapsed();
        let reply = self.member.state().read(|state| {
            let drains = group::drain_list(state);
            message::WatchReply::Current {
                age_ms: 0,
                held_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
                revision: state.revision(),
                update: update_since(state, request),
                drains: (drains.version != request.drain_version).then_some(drains),
                roster: None,
                followers: 0,
                members: Vec::new(),
                members_mark: 0,
                leader: self.member.leader(),
            }
        });
        if self.member.is_leader() {
            return reply;
        }
        message::WatchReply::Unavailable {
            leader: self.member.leader(),
        }
    }
}

fn active_teams(view: &control::ConfigurationView) -> group::ActiveTeams<'_> {
    group::ActiveTeams {
        revision: view.revision,
        teams: &view.intent.teams,
    }
}

/// Returns what is new of the configuration to the one who asks.
pub(crate) fn update_since(
    state: &control::ControlState,
    request: &message::WatchRequest,
) -> message::ConfigurationUpdate {
    if state.revision() == request.have {
        return message::ConfigurationUpdate::Nothing;
    }
    match state.changes_since(request.have) {
        Some(changes) => message::ConfigurationUpdate::Changes(changes),
        None => {
            message::ConfigurationUpdate::Snapshot(control::ConfigurationView::clone(&state.view()))
        }
    }
}
