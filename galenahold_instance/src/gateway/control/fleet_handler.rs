//! Answers calls to the leader of a fleet that is declared whole.

use std::sync;
use std::time;

use galenahold_domain::name;
use galenahold_wire::message;

use crate::gateway;
use crate::gateway::control;
use crate::peer;

/// Answers calls to the leader at a member of the control group, and at others says that it is none.
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
    /// Creates the desk of an instance outside the control group.
    pub(crate) fn non_member() -> Self {
        Self { parts: None }
    }

    /// Creates the desk of a member.
    pub(crate) fn member(parts: sync::Arc<control::HandlerParts<Dialect>>) -> Self {
        Self { parts: Some(parts) }
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

    /// Waits until another instance than `known` leads, for `hold` at most.
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
        // The sender lives as long as the desk; without news the time ends the wait.
        let _ = tokio::time::timeout(hold, moved).await;
    }

    /// Returns who leads, as far as this instance knows from the log itself.
    pub(crate) fn leader(&self) -> Option<name::InstanceName> {
        self.parts.as_ref()?.member.leader()
    }
}

impl<Dialect: gateway::FleetDialect> peer::LocalHandler for FleetHandler<Dialect> {
    fn leads(&self) -> bool {
        let parts = self.parts.as_ref();
        parts.is_some_and(|parts| parts.member.leads())
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
            message::ControlCall::Fleet(call) => {
                message::ControlReply::Fleet(parts.answer_fleet(call).await)
            }
            message::ControlCall::Demand(_)
            | message::ControlCall::NeverLeft { .. }
            | message::ControlCall::Command(_)
            | message::ControlCall::Operator(_) => message::ControlReply::Refused {
                reason: "this fleet is declared whole; it takes no such call".to_owned(),
            },
        }
    }

    async fn watch(&self, request: message::WatchRequest) -> message::WatchReply {
        match &self.parts {
            Some(parts) => parts.watch(&request).await,
            None => message::WatchReply::Unavailable { leader: None },
        }
    }
}
