//! Handles calls that are addressed to the leader.

use std::sync;
use std::time;

use galenahold_domain::control;
use galenahold_routing::leader;
use galenahold_wire::message;
use tokio::sync::mpsc;

use crate::control as group;
use crate::peer;
use crate::placement;

/// Handles calls to the leader at a member of the control group; elsewhere replies that the instance is not
/// the leader.
#[derive(Debug, Clone)]
pub(crate) struct ControlHandler {
    parts: Option<sync::Arc<HandlerParts>>,
}

/// The components with which a member of the control group handles calls.
pub(crate) struct HandlerParts {
    /// The member of the control group.
    pub(crate) member: sync::Arc<group::ControlGroup>,
    /// Grants tokens to instances.
    pub(crate) grants: group::GrantHandler,
    /// Handles the calls of operators.
    pub(crate) operators: group::OperatorHandler,
    /// Sends events to the placement driver.
    pub(crate) events: mpsc::UnboundedSender<placement::DriverEvent>,
}

impl std::fmt::Debug for HandlerParts {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("HandlerParts")
            .finish_non_exhaustive()
    }
}

impl ControlHandler {
    /// Creates the handler of an instance outside the control group.
    pub(crate) fn outside() -> Self {
        Self { parts: None }
    }

    /// Creates the handler of a member.
    pub(crate) fn member(parts: HandlerParts) -> Self {
        Self {
            parts: Some(sync::Arc::new(parts)),
        }
    }

    /// Prepares the token ledger for a new term as leader.
    pub(crate) fn begin_term(&self, term: u64) {
        if let Some(parts) = &self.parts {
            let view = parts.member.state().read(control::ControlState::view);
            parts.grants.begin(term, active_teams(&view));
        }
    }

    /// Delivers messages from another member to the log; returns whether this instance has one.
    pub(crate) fn deliver(&self, messages: &[Vec<u8>]) -> bool {
        let Some(parts) = &self.parts else {
            return false;
        };
        for message in messages {
            parts.member.deliver(message);
        }
        true
    }

    /// Returns what this instance's own log tells of the leader.
    pub(crate) fn leader_hint(&self) -> leader::LeaderHint {
        let parts = self.parts.as_ref();
        parts.map_or_else(leader::LeaderHint::default, |parts| {
            parts.member.leader_hint()
        })
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
            return message::ControlReply::not_leader(leader::LeaderHint::default());
        };
        let Some(term) = parts.member.leading_term() else {
            return message::ControlReply::not_leader(parts.member.leader_hint());
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
                reason: "this control group has no declared services".to_owned(),
            },
            message::ControlCall::Crash(report) => group::record_crash(&parts.member, report).await,
            message::ControlCall::ClearSuspects(keys) => {
                group::clear_suspects(&parts.member, &keys).await
            }
            message::ControlCall::Operator(call) => parts.operators.answer(call).await,
        }
    }

    async fn watch(&self, request: message::WatchRequest) -> message::WatchReply {
        let Some(parts) = &self.parts else {
            return message::WatchReply::unavailable(leader::LeaderHint::default());
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
        // Tokens granted after the end of the lease could be granted again by the next leader.
        if self.member.leading_term() != Some(term) {
            return message::ControlReply::not_leader(self.member.leader_hint());
        }
        message::ControlReply::Grant(reply)
    }

    fn notify_placement(&self, event: placement::DriverEvent) -> message::ControlReply {
        // The placement driver ends only with the instance.
        let _ = self.events.send(event);
        message::ControlReply::Taken
    }

    async fn command(&self, command: &control::ControlCommand) -> message::ControlReply {
        let allowed = matches!(
            command,
            control::ControlCommand::StartOrder { .. }
                | control::ControlCommand::FinishOrder { .. }
                | control::ControlCommand::AbandonOrders { .. }
                | control::ControlCommand::Depart { .. }
        );
        if !allowed {
            return message::ControlReply::Refused {
                reason: "instances may only commit commands about orders and departures".to_owned(),
            };
        }
        self.member.propose(command).await
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
                    suspects: None,
                    ..
                }
            );
            if !unchanged || left.is_zero() {
                return reply;
            }
            // The sender lives as long as the member. After a timeout the state is read once more.
            let _ = tokio::time::timeout(left, applied.changed()).await;
        }
    }

    /// Returns the reply for the caller's revision, confirmed by this member's lease.
    fn watch_reply(
        &self,
        request: &message::WatchRequest,
        started: time::Instant,
    ) -> message::WatchReply {
        // The state is read before the lease is checked. A lease that is valid after the read was valid
        // throughout it, so no other leader had committed anything newer by then.
        let held = started.elapsed();
        let hint = self.member.leader_hint();
        let reply = self
            .member
            .state()
            .read(|state| message::WatchReply::Current {
                age_ms: 0,
                held_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
                revision: state.revision(),
                update: update_since(state, request),
                drains: group::drain_list(state, request.drain_version),
                suspects: group::suspect_list(state, request.suspect_version),
                roster: None,
                loads: None,
                followers: 0,
                members: Vec::new(),
                members_mark: 0,
                leader: hint.name.clone(),
                term: hint.term,
            });
        if self.member.is_leader() {
            return reply;
        }
        message::WatchReply::unavailable(hint)
    }
}

fn active_teams(view: &control::ConfigurationView) -> group::ActiveTeams<'_> {
    group::ActiveTeams {
        revision: view.revision,
        teams: &view.intent.teams,
    }
}

/// Returns the configuration changes that the caller lacks, or a snapshot if the changes are no longer kept.
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
