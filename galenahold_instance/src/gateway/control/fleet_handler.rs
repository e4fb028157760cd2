//! Handler of control calls from other instances of a declared fleet.

use std::sync;
use std::time;

use galenahold_domain::name;
use galenahold_routing::leader;
use galenahold_wire::message;

use crate::control as group;
use crate::gateway;
use crate::gateway::control;
use crate::peer;

/// Answers control calls if this instance leads the control group; otherwise replies that it does
/// not lead.
#[derive(Debug)]
pub(crate) struct FleetHandler<Dialect> {
    parts: Option<sync::Arc<control::HandlerParts<Dialect>>>,
}

impl<Dialect> Clone for FleetHandler<Dialect> {
    fn clone(&self) -> Self {
        Self {
            parts: self.parts.clone(),
        }
    }
}

impl<Dialect: gateway::FleetDialect> FleetHandler<Dialect> {
    /// Creates the handler of an instance outside the control group.
    pub(crate) fn non_member() -> Self {
        Self { parts: None }
    }

    /// Creates the handler of a control group member.
    pub(crate) fn member(parts: sync::Arc<control::HandlerParts<Dialect>>) -> Self {
        Self { parts: Some(parts) }
    }

    /// Passes consensus messages of another member to the log; returns `false` if this instance has
    /// no log.
    pub(crate) fn deliver(&self, messages: &[Vec<u8>]) -> bool {
        let Some(parts) = &self.parts else {
            return false;
        };
        for message in messages {
            parts.member.deliver(message);
        }
        true
    }

    /// Waits until an instance other than `known` leads, for at most `hold`.
    pub(crate) async fn wait_for_other_leader(
        &self,
        known: &name::InstanceName,
        hold: time::Duration,
    ) {
        let Some(parts) = &self.parts else {
            return;
        };
        let mut leader_changes = parts.leader_changes.subscribe();
        let moved =
            leader_changes.wait_for(|leader| leader.as_ref().is_some_and(|name| name != known));
        // The sender lives as long as the handler, so the wait ends with a change or the timeout.
        let _ = tokio::time::timeout(hold, moved).await;
    }

    /// Returns what this member's own log tells of the leader.
    pub(crate) fn leader_hint(&self) -> leader::LeaderHint {
        let parts = self.parts.as_ref();
        parts.map_or_else(leader::LeaderHint::default, |parts| {
            parts.member.leader_hint()
        })
    }
}

impl<Dialect: gateway::FleetDialect> peer::LocalHandler for FleetHandler<Dialect> {
    fn is_leader(&self) -> bool {
        let parts = self.parts.as_ref();
        parts.is_some_and(|parts| parts.member.is_leader())
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
            message::ControlCall::Fleet(call) => {
                message::ControlReply::Fleet(parts.answer_fleet(call).await)
            }
            message::ControlCall::Crash(report) => group::record_crash(&parts.member, report).await,
            message::ControlCall::ClearSuspects(keys) => {
                group::clear_suspects(&parts.member, &keys).await
            }
            message::ControlCall::Demand(_)
            | message::ControlCall::NeverLeft { .. }
            | message::ControlCall::Command(_)
            | message::ControlCall::Operator(_) => message::ControlReply::Refused {
                reason: "this fleet is configured by a declaration and does not accept this call"
                    .to_owned(),
            },
        }
    }

    async fn watch(&self, request: message::WatchRequest) -> message::WatchReply {
        match &self.parts {
            Some(parts) => parts.watch(&request).await,
            None => message::WatchReply::unavailable(leader::LeaderHint::default()),
        }
    }
}
