//! Calls the leader of the control group and follows leader changes.

use std::sync;
use std::time;

use galenahold_domain::name;
use galenahold_routing::leader;
use galenahold_wire::message;
use rand::RngExt;
use tokio::sync::watch;

use crate::peer;

/// The timeout of one attempt of a call.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// The timeout of a call that is relayed for another instance.
const RELAY_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The maximum pause between attempts.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Calls the leader of the control group, and follows it as it changes.
#[derive(Debug, Clone)]
pub(crate) struct ControlClient<Handler> {
    network: peer::PeerNetwork,
    handler: Handler,
    members: sync::Arc<sync::Mutex<Vec<name::InstanceName>>>,
    leader: sync::Arc<sync::Mutex<leader::LeaderView>>,
    leader_changes: sync::Arc<watch::Sender<()>>,
}

/// The result of one attempt of a call.
enum AttemptResult {
    Answered(message::ControlReply),
    NotExecuted,
    Unknown,
}

impl<Handler: peer::LocalHandler> ControlClient<Handler> {
    /// Creates a client for a control group with the members named in the settings.
    pub(crate) fn new(
        network: peer::PeerNetwork,
        handler: Handler,
        members: Vec<name::InstanceName>,
    ) -> Self {
        Self {
            network,
            handler,
            members: sync::Arc::new(sync::Mutex::new(members)),
            leader: sync::Arc::default(),
            leader_changes: sync::Arc::default(),
        }
    }

    /// Returns the members to which calls may go.
    pub(crate) fn members(&self) -> Vec<name::InstanceName> {
        self.lock_members().clone()
    }

    /// Returns whom to ask next in search of the leader.
    pub(crate) fn next_target(&self, search: &mut leader::LeaderSearch) -> leader::SearchTarget {
        let own = &self.network.directory().own().name;
        let members = self.members();
        search.next_target(own, &self.lock(), &members, time::Instant::now())
    }

    /// Replaces the known members.
    pub(crate) fn learn_members(&self, members: impl Iterator<Item = name::InstanceName>) {
        *self.lock_members() = members.collect();
    }

    /// Returns the known leader, unless it is avoided as unreachable.
    pub(crate) fn leader(&self) -> Option<name::InstanceName> {
        self.lock().reachable(time::Instant::now()).cloned()
    }

    /// Sets the leader that another instance reports; returns false if it reports an earlier term than
    /// is known.
    pub(crate) fn set_leader(&self, hint: leader::LeaderHint) -> bool {
        let mut view = self.lock();
        let changed = hint.name.is_some() && view.known() != hint.name.as_ref();
        let accepted = view.accept(hint, time::Instant::now());
        drop(view);
        if accepted && changed {
            self.leader_changes.send_replace(());
        }
        accepted
    }

    /// Waits until an instance other than `target` is known as the leader.
    pub(crate) async fn leader_changed(&self, target: &name::InstanceName) {
        let mut leader_changes = self.leader_changes.subscribe();
        loop {
            if self.lock().known().is_some_and(|name| name != target) {
                return;
            }
            if leader_changes.changed().await.is_err() {
                // The sender lives as long as this client.
                return;
            }
        }
    }

    /// Avoids an instance for a limited time if it is the leader: it did not answer within the limit of
    /// a call, or could not be reached at all.
    pub(crate) fn record_failure(
        &self,
        target: &name::InstanceName,
        limit: time::Duration,
        error: peer::CallError,
    ) {
        let now = time::Instant::now();
        match error {
            peer::CallError::NotExecuted => self.lock().record_unreachable(target, now),
            peer::CallError::Unknown => self.lock().record_timeout(target, limit, now),
        }
    }

    /// Avoids a leader no longer, as it has answered.
    pub(crate) fn record_reached(&self, target: &name::InstanceName) {
        self.lock().record_reached(target);
    }

    /// Relays a call for an instance that cannot reach the leader.
    pub(crate) async fn relay_call(&self, call: message::ControlCall) -> message::ControlReply {
        if self.handler.is_leader() {
            return self.handler.answer(call).await;
        }
        let own = &self.network.directory().own().name;
        let Some(leader) = self.leader().filter(|leader| leader != own) else {
            return message::ControlReply::not_leader(leader::LeaderHint::default());
        };
        let called = self
            .network
            .call(&leader, RELAY_TIMEOUT, |client, context| async move {
                client.call(context, call).await
            })
            .await;
        called.unwrap_or_else(|error| {
            self.record_failure(&leader, RELAY_TIMEOUT, error);
            match error {
                peer::CallError::NotExecuted => {
                    message::ControlReply::not_leader(leader::LeaderHint::default())
                }
                peer::CallError::Unknown => message::ControlReply::OutcomeUnknown,
            }
        })
    }

    /// Calls the leader, with retries until `deadline`.
    ///
    /// Each call is safe to repeat: commands carry a number by which a repeat is recognized.
    ///
    /// # Errors
    ///
    /// [`peer::CallError::NotExecuted`] if no attempt can have been executed.
    pub(crate) async fn call(
        &self,
        call: message::ControlCall,
        deadline: time::Instant,
    ) -> Result<message::ControlReply, peer::CallError> {
        let mut failure = peer::CallError::NotExecuted;
        let mut rotation = rand::rng().random_range(0..self.members().len().max(1));
        loop {
            let now = time::Instant::now();
            let limit = deadline.saturating_duration_since(now).min(ATTEMPT_TIMEOUT);
            if limit.is_zero() {
                return Err(failure);
            }
            match self.attempt(call.clone(), limit, &mut rotation).await {
                AttemptResult::Answered(reply) => return Ok(reply),
                AttemptResult::NotExecuted => {}
                AttemptResult::Unknown => failure = peer::CallError::Unknown,
            }
            let pause = MAX_PAUSE.mul_f64(rand::rng().random_range(0.2..1.0));
            tokio::time::sleep_until((time::Instant::now() + pause).min(deadline).into()).await;
        }
    }

    async fn attempt(
        &self,
        call: message::ControlCall,
        limit: time::Duration,
        rotation: &mut usize,
    ) -> AttemptResult {
        if self.handler.is_leader() {
            let answering = self.handler.answer(call);
            let answered = tokio::time::timeout(limit, answering).await;
            return answered.map_or(AttemptResult::Unknown, |reply| self.classify_reply(reply));
        }
        let own = &self.network.directory().own().name;
        if let Some(leader) = self.leader().filter(|leader| leader != own) {
            let calling = self
                .network
                .call(&leader, limit, |client, context| async move {
                    client.call(context, call).await
                });
            return tokio::select! {
                called = calling => self.handle_result(&leader, called, limit),
                () = self.leader_changed(&leader) => AttemptResult::Unknown,
            };
        }
        let Some(member) = self.next_member(rotation) else {
            return AttemptResult::NotExecuted;
        };
        let called = self
            .network
            .call(&member, limit, |client, context| async move {
                client.forward(context, call).await
            })
            .await;
        self.handle_result(&member, called, limit)
    }

    fn handle_result(
        &self,
        target: &name::InstanceName,
        called: Result<message::ControlReply, peer::CallError>,
        limit: time::Duration,
    ) -> AttemptResult {
        match called {
            Ok(reply) => self.classify_reply(reply),
            Err(error) => {
                self.record_failure(target, limit, error);
                match error {
                    peer::CallError::NotExecuted => AttemptResult::NotExecuted,
                    peer::CallError::Unknown => AttemptResult::Unknown,
                }
            }
        }
    }

    fn classify_reply(&self, reply: message::ControlReply) -> AttemptResult {
        match reply {
            message::ControlReply::NotLeader { leader, term } => {
                let hint = leader::LeaderHint { name: leader, term };
                self.set_leader(hint);
                AttemptResult::NotExecuted
            }
            message::ControlReply::OutcomeUnknown => AttemptResult::Unknown,
            reply => AttemptResult::Answered(reply),
        }
    }

    /// Returns the next member in rotation that is neither this instance nor the known leader, which is avoided.
    fn next_member(&self, rotation: &mut usize) -> Option<name::InstanceName> {
        let own = &self.network.directory().own().name;
        let known = self.lock().known().cloned();
        let members = self.members();
        let others: Vec<_> = members
            .iter()
            .filter(|name| *name != own && Some(*name) != known.as_ref())
            .collect();
        *rotation += 1;
        let member = others.get(*rotation % others.len().max(1));
        // A group of one has no other member to relay the call.
        member.map(|name| (*name).clone()).or(known)
    }

    fn lock_members(&self) -> sync::MutexGuard<'_, Vec<name::InstanceName>> {
        self.members
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn lock(&self) -> sync::MutexGuard<'_, leader::LeaderView> {
        self.leader
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
