//! Calls to the control group's leader.

use std::sync;
use std::time;

use galenahold_domain::name;
use galenahold_wire::message;
use rand::RngExt;

use crate::peer;

/// The longest that one attempt of a call may take.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// The longest pause between attempts.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Calls to the control group's leader, which follow it as it changes.
#[derive(Debug, Clone)]
pub(crate) struct ControlClient<Desk> {
    network: peer::PeerNetwork,
    desk: Desk,
    members: sync::Arc<[name::InstanceName]>,
    leader: sync::Arc<sync::Mutex<Option<name::InstanceName>>>,
}

/// What one attempt of a call came to.
enum AttemptResult {
    Answered(message::ControlReply),
    NotDone,
    Unknown,
}

impl<Desk: peer::LocalDesk> ControlClient<Desk> {
    /// Creates a client of the control group whose members the settings name.
    pub(crate) fn new(
        network: peer::PeerNetwork,
        desk: Desk,
        members: Vec<name::InstanceName>,
    ) -> Self {
        Self {
            network,
            desk,
            members: sync::Arc::from(members),
            leader: sync::Arc::default(),
        }
    }

    /// Returns who leads, as far as is known.
    pub(crate) fn leader(&self) -> Option<name::InstanceName> {
        self.lock().clone()
    }

    /// Takes up who leads.
    pub(crate) fn learn_leader(&self, leader: Option<name::InstanceName>) {
        if leader.is_some() {
            *self.lock() = leader;
        }
    }

    /// Takes up what an instance that does not lead says; `None` where it knows of no leader.
    pub(crate) fn follow_leader(&self, leader: Option<name::InstanceName>) {
        *self.lock() = leader;
    }

    /// Forgets a leader that could not be reached, so that others are asked.
    pub(crate) fn forget_leader(&self, target: &name::InstanceName) {
        let mut leader = self.lock();
        if leader.as_ref() == Some(target) {
            *leader = None;
        }
    }

    /// Calls the leader, again and again until `deadline`.
    ///
    /// Each call is safe to repeat: commands bear a number under which a repeat is known again.
    ///
    /// # Errors
    ///
    /// [`peer::CallError::NotDone`] where no attempt can have been done.
    pub(crate) async fn call(
        &self,
        call: message::ControlCall,
        deadline: time::Instant,
    ) -> Result<message::ControlReply, peer::CallError> {
        let mut doubt = peer::CallError::NotDone;
        let mut turn = rand::rng().random_range(0..self.members.len().max(1));
        loop {
            let now = time::Instant::now();
            let limit = deadline.saturating_duration_since(now).min(ATTEMPT_TIMEOUT);
            if limit.is_zero() {
                return Err(doubt);
            }
            match self.attempt(call.clone(), limit, &mut turn).await {
                AttemptResult::Answered(reply) => return Ok(reply),
                AttemptResult::NotDone => {}
                AttemptResult::Unknown => doubt = peer::CallError::Unknown,
            }
            let pause = MAX_PAUSE.mul_f64(rand::rng().random_range(0.2..1.0));
            tokio::time::sleep_until((time::Instant::now() + pause).min(deadline).into()).await;
        }
    }

    async fn attempt(
        &self,
        call: message::ControlCall,
        limit: time::Duration,
        turn: &mut usize,
    ) -> AttemptResult {
        if self.desk.leads() {
            let answering = self.desk.answer(call);
            let answered = tokio::time::timeout(limit, answering).await;
            return answered.map_or(AttemptResult::Unknown, |reply| self.judge(reply));
        }
        let Some(target) = self.target(turn) else {
            return AttemptResult::NotDone;
        };
        let called = self
            .network
            .call(&target, limit, |client, context| async move {
                client.call(context, call).await
            })
            .await;
        match called {
            Ok(reply) => self.judge(reply),
            Err(error) => {
                self.forget_leader(&target);
                match error {
                    peer::CallError::NotDone => AttemptResult::NotDone,
                    peer::CallError::Unknown => AttemptResult::Unknown,
                }
            }
        }
    }

    fn judge(&self, reply: message::ControlReply) -> AttemptResult {
        match reply {
            message::ControlReply::NotLeader { leader } => {
                self.follow_leader(leader);
                AttemptResult::NotDone
            }
            message::ControlReply::OutcomeUnknown => AttemptResult::Unknown,
            reply => AttemptResult::Answered(reply),
        }
    }

    /// Returns the known leader or else the next member in turn.
    fn target(&self, turn: &mut usize) -> Option<name::InstanceName> {
        let own = &self.network.directory().own().name;
        if let Some(leader) = self.leader()
            && leader != *own
        {
            return Some(leader);
        }
        *turn += 1;
        let others: Vec<_> = self.members.iter().filter(|name| *name != own).collect();
        if others.is_empty() {
            return None;
        }
        Some(others[*turn % others.len()].clone())
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<name::InstanceName>> {
        self.leader
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
