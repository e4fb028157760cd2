//! The state behind the dispatcher.

use std::collections;
use std::time;

use galenahold_domain::server;
use galenahold_routing::breaker;
use galenahold_routing::queue;
use galenahold_routing::replica;
use galenahold_routing::replica::ReplicaChoice;
use galenahold_wire::message;
use tokio::sync::oneshot;

use crate::backend;
use crate::dispatch;

/// How long a replica is left alone after its backend server could not be connected or said that it
/// does not hold it: longer than the time between two announcements, the next of which tells.
const DENIAL: time::Duration = time::Duration::from_millis(1_500);

/// The state behind the dispatcher, generic over the choice of replicas.
#[derive(Debug)]
pub(crate) struct DispatchState {
    table: replica::ReplicaTable,
    breaker: breaker::CircuitBreaker,
    choice: replica::PrefixAffinity,
    drains: dispatch::DrainSet,
    queues: collections::HashMap<replica::ReplicaTarget, dispatch::TargetQueue>,
    limits: queue::QueueLimits,
    candidates: Vec<replica::ReplicaCandidate>,
    work: collections::HashMap<dispatch::WorkKey, u32>,
    denied: collections::HashMap<replica::ReplicaKey, time::Instant>,
}

/// A waiting request and the replica chosen for it.
#[derive(Debug)]
pub(crate) struct Dispatched {
    /// Where the slot goes.
    pub(crate) sender: oneshot::Sender<dispatch::ReplicaSlot>,
    /// What the request needs.
    pub(crate) request: dispatch::SlotRequest,
    /// The replica.
    pub(crate) replica: replica::ReplicaKey,
    /// Its backend server.
    pub(crate) server: replica::ServerKey,
    /// Where the request goes.
    pub(crate) address: backend::BackendAddress,
}

impl DispatchState {
    /// Creates a state without replicas.
    pub(crate) fn new(settings: replica::TableSettings, limits: queue::QueueLimits) -> Self {
        Self {
            table: replica::ReplicaTable::new(settings),
            breaker: breaker::CircuitBreaker::new(breaker::BreakerSettings::default()),
            choice: replica::PrefixAffinity::default(),
            drains: dispatch::DrainSet::default(),
            queues: collections::HashMap::new(),
            limits,
            candidates: Vec::new(),
            work: collections::HashMap::new(),
            denied: collections::HashMap::new(),
        }
    }

    /// Follows an announcement.
    pub(crate) fn announce(
        &mut self,
        announcement: &server::ServerAnnouncement,
        age: time::Duration,
        now: time::Instant,
    ) {
        let change = self.table.announce(announcement, age, now);
        if let replica::TableChange::Started {
            ended: Some(ended), ..
        } = change
        {
            self.breaker.forget(ended);
            self.choice.forget(ended);
        }
    }

    /// Follows a notice that a replica was loaded.
    pub(crate) fn mark_ready(&mut self, notice: &message::ReplicaNotice) {
        let Some(key) = self.table.server_key(&notice.server) else {
            return;
        };
        let target = replica::ReplicaTarget::Artifact(notice.artifact.clone());
        self.table.mark_ready(key, notice.incarnation, &target);
    }

    /// Follows a cache event.
    pub(crate) fn apply_cache_event(&mut self, event: &server::CacheEvent) {
        let Some(key) = self.table.server_key(&event.name) else {
            return;
        };
        let same = self
            .table
            .server(key)
            .is_some_and(|entry| entry.incarnation() == event.incarnation);
        if same {
            self.choice.apply_cache_event(key, event);
        }
    }

    /// Puts a drain list in force.
    pub(crate) fn set_drains(&mut self, list: &message::DrainList) {
        self.drains = dispatch::DrainSet::new(list);
    }

    /// Queues a request.
    pub(crate) fn push(
        &mut self,
        request: dispatch::SlotRequest,
        sender: oneshot::Sender<dispatch::ReplicaSlot>,
        now: time::Instant,
    ) -> Result<queue::QueueTicket, queue::QueueRefusal> {
        let limits = self.limits.clone();
        let target = self
            .queues
            .entry(request.target.clone())
            .or_insert_with(|| dispatch::TargetQueue::new(limits));
        target.arrived += 1;
        target.queue.set_weight(&request.team, request.weight);
        let entry = queue::QueueEntry {
            team: request.team.clone(),
            tokens: request.tokens,
            bytes: request.bytes,
            priority: request.priority,
            deadline: request.deadline,
        };
        let team = request.team.clone();
        let waiter = dispatch::SlotWaiter { request, sender };
        let ticket = target
            .queue
            .push(entry, waiter, now)
            .map_err(|refused| refused.refusal)?;
        target.count_in(&team, now);
        Ok(ticket)
    }

    /// Takes a request out of its queue.
    pub(crate) fn cancel(
        &mut self,
        target: &replica::ReplicaTarget,
        ticket: queue::QueueTicket,
        now: time::Instant,
    ) -> Option<dispatch::SlotWaiter> {
        let queue = self.queues.get_mut(target)?;
        let cancelled = queue.queue.cancel(ticket)?;
        queue.count_out(&cancelled.entry.team, now);
        Some(cancelled.item)
    }

    /// Returns how long a new request would wait, as far as that can be told.
    pub(crate) fn predicted_wait(
        &self,
        request: &dispatch::SlotRequest,
    ) -> galenahold_routing::admission::PredictedWait {
        let queue = self.queues.get(&request.target);
        let cold = !self.table.has_replica(&request.target);
        galenahold_routing::admission::PredictedWait {
            tokens: None,
            queue: queue.and_then(|queue| queue.queue.predicted_wait(&request.team)),
            cold_start: queue
                .and_then(|queue| queue.last_cold_start)
                .filter(|_| cold),
        }
    }

    /// Chooses replicas for as many waiting requests of a target as there is room for.
    pub(crate) fn dispatch(
        &mut self,
        target: &replica::ReplicaTarget,
        now: time::Instant,
    ) -> Vec<Dispatched> {
        let mut dispatched = Vec::new();
        while let Some(next) = self.dispatch_one(target, now) {
            dispatched.push(next);
        }
        dispatched
    }

    /// Returns the targets that requests wait for.
    pub(crate) fn waiting_targets(&self) -> Vec<replica::ReplicaTarget> {
        self.queues
            .iter()
            .filter(|(_, queue)| !queue.queue.is_empty())
            .map(|(target, _)| target.clone())
            .collect()
    }

    /// Returns how many requests wait.
    pub(crate) fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.queue.len()).sum()
    }

    /// Returns whether a request waits for a target without any replica.
    pub(crate) fn has_unserved(&self) -> bool {
        self.queues
            .values()
            .any(|queue| queue.cold_since.is_some() && !queue.queue.is_empty())
    }

    /// Frees the place of a request that ended.
    pub(crate) fn release(&mut self, slot: &dispatch::ReplicaSlot, now: time::Instant) {
        self.table.finish(slot.replica, slot.tokens);
        match slot.end {
            dispatch::AttemptEnd::Silent => {}
            dispatch::AttemptEnd::Answered => self.breaker.succeed(slot.server),
            dispatch::AttemptEnd::Denied => {
                self.breaker.succeed(slot.server);
                self.denied.insert(slot.replica, now + DENIAL);
            }
            dispatch::AttemptEnd::Unreachable => {
                self.breaker.fail(slot.server, now);
                self.denied.insert(slot.replica, now + DENIAL);
            }
            dispatch::AttemptEnd::Failed => {
                self.breaker.fail(slot.server, now);
            }
        }
        if let Some(queue) = self.queues.get_mut(&slot.target) {
            queue.running = queue.running.saturating_sub(1);
        }
        self.end_work(slot);
    }

    fn end_work(&mut self, slot: &dispatch::ReplicaSlot) {
        let Some(key) = dispatch::WorkKey::of(&slot.address.server, &slot.target) else {
            return;
        };
        if let Some(count) = self.work.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.work.remove(&key);
            }
        }
    }

    /// Drops what has expired: announcements, and requests past their deadline.
    pub(crate) fn expire(&mut self, now: time::Instant) -> Vec<dispatch::SlotWaiter> {
        self.table.expire(now);
        self.denied.retain(|_, until| *until > now);
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            while let Some(item) = queue.queue.expired(now) {
                queue.count_out(&item.entry.team, now);
                expired.push(item.item);
            }
        }
        self.queues
            .retain(|_, queue| !queue.is_idle() || queue.last_cold_start.is_some());
        expired
    }

    /// Returns the demand for models and adapters, and starts to count arrivals anew.
    pub(crate) fn take_demand(&mut self, now: time::Instant) -> dispatch::DemandSnapshot {
        let mut snapshot = dispatch::DemandSnapshot::default();
        for (target, queue) in &mut self.queues {
            let replica::ReplicaTarget::Artifact(artifact) = target else {
                continue;
            };
            let demand = queue.take_demand(artifact, now);
            if demand.waiting > 0 || demand.arrivals > 0 {
                snapshot.demands.insert(artifact.clone(), demand);
            }
        }
        snapshot.work.clone_from(&self.work);
        snapshot
    }

    fn dispatch_one(
        &mut self,
        target: &replica::ReplicaTarget,
        now: time::Instant,
    ) -> Option<Dispatched> {
        let present = self.find_candidates(target, now);
        let queue = self.queues.get_mut(target)?;
        queue.note_replica(present, now);
        let (table, candidates) = (&self.table, &mut self.candidates);
        let popped = queue.queue.pop(now, |_, waiter| {
            candidates
                .iter()
                .any(|candidate| is_usable(table, candidates, &waiter.request, candidate))
        })?;
        queue.count_out(&popped.entry.team, now);
        queue.running += 1;
        let dispatch::SlotWaiter { request, sender } = popped.item;
        let known = candidates.clone();
        candidates.retain(|candidate| is_usable(table, &known, &request, candidate));
        let replica = self.choose(&request)?;
        self.assign(request, sender, replica, now)
    }

    /// Lists the replicas that may take a request; returns whether there is any, full ones included.
    fn find_candidates(&mut self, target: &replica::ReplicaTarget, now: time::Instant) -> bool {
        self.table.candidates(target, now, &mut self.candidates);
        let (table, drains, denied) = (&self.table, &self.drains, &self.denied);
        self.candidates.retain(|candidate| {
            let is_denied = denied.get(&candidate.key).is_some_and(|until| *until > now);
            let server = table.server(candidate.server);
            !is_denied && server.is_some_and(|entry| !drains.holds(entry, target))
        });
        self.breaker.admit(&mut self.candidates, now);
        !self.candidates.is_empty()
    }

    fn choose(&mut self, request: &dispatch::SlotRequest) -> Option<replica::ReplicaKey> {
        let model = match &request.target {
            replica::ReplicaTarget::Artifact(artifact) => Some(&artifact.model),
            replica::ReplicaTarget::Service(_) => None,
        };
        let wish = replica::ChoiceRequest {
            model,
            tokens: request.tokens,
            prefix: &request.prefix,
        };
        self.choice
            .choose(&self.candidates, &wish, &mut rand::rng())
    }

    fn assign(
        &mut self,
        request: dispatch::SlotRequest,
        sender: oneshot::Sender<dispatch::ReplicaSlot>,
        replica: replica::ReplicaKey,
        now: time::Instant,
    ) -> Option<Dispatched> {
        let server = self.table.replica(replica)?.server();
        let entry = self.table.server(server)?;
        let address = backend::BackendAddress {
            server: entry.name().clone(),
            incarnation: entry.incarnation(),
            socket: entry.address(),
        };
        if let Some(key) = dispatch::WorkKey::of(&address.server, &request.target) {
            *self.work.entry(key).or_insert(0) += 1;
        }
        self.table.begin(replica, request.tokens);
        self.breaker.begin(server, now);
        Some(Dispatched {
            sender,
            request,
            replica,
            server,
            address,
        })
    }
}

/// Returns whether a request may go to a candidate: there is room, and it is not the backend server of
/// the last attempt, unless there is no other; a full one is worth the wait.
fn is_usable(
    table: &replica::ReplicaTable,
    candidates: &[replica::ReplicaCandidate],
    request: &dispatch::SlotRequest,
    candidate: &replica::ReplicaCandidate,
) -> bool {
    if !candidate.has_room(request.concurrency) {
        return false;
    }
    let Some(avoid) = &request.avoid else {
        return true;
    };
    let is_avoided = |candidate: &replica::ReplicaCandidate| {
        table
            .server(candidate.server)
            .is_some_and(|entry| entry.name() == avoid)
    };
    !is_avoided(candidate) || candidates.iter().all(is_avoided)
}
