//! Calls to the control group's leader.

use std::sync;
use std::time;

use galenahold_domain::name;
use galenahold_wire::message;
use rand::RngExt;
use tokio::sync::watch;

use crate::peer;

/// The longest that one attempt of a call may take.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// How long a leader that could not be reached is gone around.
const UNREACHABLE_TTL: time::Duration = time::Duration::from_secs(10);

/// The longest that a call may take that is passed on for another instance.
const RELAY_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The longest pause between attempts.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Calls to the control group's leader, which follow it as it changes.
#[derive(Debug, Clone)]
pub(crate) struct ControlClient<Handler> {
    network: peer::PeerNetwork,
    handler: Handler,
    members: sync::Arc<sync::Mutex<Vec<name::InstanceName>>>,
    leader: sync::Arc<sync::Mutex<LeaderView>>,
    leader_changes: sync::Arc<watch::Sender<()>>,
}

/// What is known of the leader.
#[derive(Debug, Default)]
struct LeaderView {
    name: Option<name::InstanceName>,
    unreachable: Option<UnreachableLeader>,
}

/// A leader that could not be reached from here, though others may reach it.
#[derive(Debug)]
struct UnreachableLeader {
    name: name::InstanceName,
    until: time::Instant,
}

/// What one attempt of a call came to.
enum AttemptResult {
    Answered(message::ControlReply),
    NotExecuted,
    Unknown,
}

impl<Handler: peer::LocalHandler> ControlClient<Handler> {
    /// Creates a client of the control group whose members the settings name.
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

    /// Returns the members that calls may go to.
    pub(crate) fn members(&self) -> Vec<name::InstanceName> {
        self.lock_members().clone()
    }

    /// Takes up the members, instead of those known so far.
    pub(crate) fn learn_members(&self, members: impl Iterator<Item = name::InstanceName>) {
        *self.lock_members() = members.collect();
    }

    /// Returns who leads, as far as is known and can be reached from here.
    pub(crate) fn leader(&self) -> Option<name::InstanceName> {
        let view = self.lock();
        let name = view.name.clone()?;
        let unreachable = view.unreachable.as_ref();
        let avoided = unreachable
            .is_some_and(|other| other.name == name && other.until > time::Instant::now());
        (!avoided).then_some(name)
    }

    /// Takes up who leads.
    pub(crate) fn learn_leader(&self, leader: Option<name::InstanceName>) {
        if leader.is_some() {
            self.set_leader(leader);
        }
    }

    /// Takes up what an instance that does not lead says; `None` where it knows of no leader.
    pub(crate) fn set_leader(&self, leader: Option<name::InstanceName>) {
        let mut view = self.lock();
        let changed = leader.is_some() && view.name != leader;
        view.name = leader;
        drop(view);
        if changed {
            self.leader_changes.send_replace(());
        }
    }

    /// Waits until another instance than `target` is known to lead.
    pub(crate) async fn leader_changed(&self, target: &name::InstanceName) {
        let mut leader_changes = self.leader_changes.subscribe();
        loop {
            if self.lock().name.as_ref().is_some_and(|name| name != target) {
                return;
            }
            if leader_changes.changed().await.is_err() {
                // The sender lives as long as this client.
                return;
            }
        }
    }

    /// Goes around a leader that could not be reached, for a while.
    pub(crate) fn avoid_leader(&self, target: &name::InstanceName) {
        let mut view = self.lock();
        if view.name.as_ref() == Some(target) {
            view.unreachable = Some(UnreachableLeader {
                name: target.clone(),
                until: time::Instant::now() + UNREACHABLE_TTL,
            });
        }
    }

    /// Passes a call on for an instance that cannot reach the leader.
    pub(crate) async fn relay_call(&self, call: message::ControlCall) -> message::ControlReply {
        if self.handler.is_leader() {
            return self.handler.answer(call).await;
        }
        let own = &self.network.directory().own().name;
        let Some(leader) = self.leader().filter(|leader| leader != own) else {
            return message::ControlReply::NotLeader { leader: None };
        };
        let called = self
            .network
            .call(&leader, RELAY_TIMEOUT, |client, context| async move {
                client.call(context, call).await
            })
            .await;
        called.unwrap_or_else(|error| {
            self.avoid_leader(&leader);
            match error {
                peer::CallError::NotExecuted => message::ControlReply::NotLeader { leader: None },
                peer::CallError::Unknown => message::ControlReply::OutcomeUnknown,
            }
        })
    }

    /// Calls the leader, again and again until `deadline`.
    ///
    /// Each call is safe to repeat: commands bear a number under which a repeat is known again.
    ///
    /// # Errors
    ///
    /// [`peer::CallError::NotExecuted`] where no attempt can have been done.
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
                called = calling => self.handle_result(&leader, called),
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
        self.handle_result(&member, called)
    }

    fn handle_result(
        &self,
        target: &name::InstanceName,
        called: Result<message::ControlReply, peer::CallError>,
    ) -> AttemptResult {
        match called {
            Ok(reply) => self.classify_reply(reply),
            Err(error) => {
                self.avoid_leader(target);
                match error {
                    peer::CallError::NotExecuted => AttemptResult::NotExecuted,
                    peer::CallError::Unknown => AttemptResult::Unknown,
                }
            }
        }
    }

    fn classify_reply(&self, reply: message::ControlReply) -> AttemptResult {
        match reply {
            message::ControlReply::NotLeader { leader } => {
                self.set_leader(leader);
                AttemptResult::NotExecuted
            }
            message::ControlReply::OutcomeUnknown => AttemptResult::Unknown,
            reply => AttemptResult::Answered(reply),
        }
    }

    /// Returns the next member in turn that is neither this instance nor the leader gone around.
    fn next_member(&self, rotation: &mut usize) -> Option<name::InstanceName> {
        let own = &self.network.directory().own().name;
        let known = self.lock().name.clone();
        let members = self.members();
        let others: Vec<_> = members
            .iter()
            .filter(|name| *name != own && Some(*name) != known.as_ref())
            .collect();
        *rotation += 1;
        let member = others.get(*rotation % others.len().max(1));
        // A group of one has nobody to go around by.
        member.map(|name| (*name).clone()).or(known)
    }

    fn lock_members(&self) -> sync::MutexGuard<'_, Vec<name::InstanceName>> {
        self.members
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn lock(&self) -> sync::MutexGuard<'_, LeaderView> {
        self.leader
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
