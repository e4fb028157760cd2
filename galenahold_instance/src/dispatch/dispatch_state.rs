//! Queues, replicas and requests in progress of the dispatcher.

use std::collections;
use std::time;

use galenahold_domain::fleet;
use galenahold_domain::server;
use galenahold_routing::breaker;
use galenahold_routing::fleet as routing;
use galenahold_routing::queue;
use galenahold_routing::replica;
use galenahold_routing::replica::ReplicaChoice;
use galenahold_wire::message;
use tokio::sync::oneshot;

use crate::backend;
use crate::dispatch;

/// How long a replica gets no requests after its backend server could not be connected or stated that
/// it does not have the replica. Longer than the interval between two announcements, so that the next
/// announcement updates the replica's state first.
const REPLICA_COOLDOWN: time::Duration = time::Duration::from_millis(1_500);

/// The dispatcher's state: known replicas, waiting requests and requests in progress.
#[derive(Debug)]
pub(crate) struct DispatchState {
    table: replica::ReplicaTable,
    breaker: breaker::CircuitBreaker,
    affinity: replica::PrefixAffinity,
    drains: dispatch::DrainSet,
    /// The departures that backend servers announced to this instance in answers.
    departures: fleet::DepartureTable,
    /// The backend servers that asked for a pause.
    closures: routing::ServerClosures,
    queues: collections::HashMap<replica::ReplicaTarget, dispatch::TargetQueue>,
    limits: queue::QueueLimits,
    candidates: Vec<replica::ReplicaCandidate>,
    work: collections::HashMap<dispatch::WorkKey, u32>,
    cooldowns: collections::HashMap<replica::ReplicaKey, time::Instant>,
}

/// A request that left its queue, with the replica chosen for it.
#[derive(Debug)]
pub(crate) struct DispatchedRequest {
    /// The channel that delivers the slot to the waiting request.
    pub(crate) sender: oneshot::Sender<dispatch::ReplicaSlot>,
    /// The requirements of the request.
    pub(crate) request: dispatch::SlotRequest,
    /// The chosen replica.
    pub(crate) replica: replica::ReplicaKey,
    /// The backend server of the replica.
    pub(crate) server: replica::ServerKey,
    /// The address of the backend server.
    pub(crate) address: backend::BackendAddress,
}

impl DispatchState {
    /// Creates a state with no replicas and no waiting requests.
    pub(crate) fn new(settings: replica::TableSettings, limits: queue::QueueLimits) -> Self {
        Self {
            table: replica::ReplicaTable::new(settings),
            breaker: breaker::CircuitBreaker::new(breaker::BreakerSettings::default()),
            affinity: replica::PrefixAffinity::default(),
            drains: dispatch::DrainSet::default(),
            departures: fleet::DepartureTable::default(),
            closures: routing::ServerClosures::default(),
            queues: collections::HashMap::new(),
            limits,
            candidates: Vec::new(),
            work: collections::HashMap::new(),
            cooldowns: collections::HashMap::new(),
        }
    }

    /// Applies an announcement of a backend server.
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
            self.affinity.forget(ended);
        }
    }

    /// Applies a notice that a replica was loaded.
    pub(crate) fn mark_ready(&mut self, notice: &message::ReplicaNotice) {
        let Some(key) = self.table.server_key(&notice.server) else {
            return;
        };
        let target = replica::ReplicaTarget::Artifact(notice.artifact.clone());
        self.table.mark_ready(key, notice.incarnation, &target);
    }

    /// Applies a prefix cache event of a backend server, if it comes from the current incarnation.
    pub(crate) fn apply_cache_event(&mut self, event: &server::CacheEvent) {
        let Some(key) = self.table.server_key(&event.name) else {
            return;
        };
        let same = self
            .table
            .server(key)
            .is_some_and(|entry| entry.incarnation() == event.incarnation);
        if same {
            self.affinity.apply_cache_event(key, event);
        }
    }

    /// Replaces the set of draining replicas.
    pub(crate) fn set_drains(&mut self, list: &message::DrainList) {
        self.drains = dispatch::DrainSet::new(list);
    }

    /// Records a departure that a backend server announced in an answer; returns whether it is new.
    pub(crate) fn record_departure(&mut self, departure: fleet::ServerDeparture) -> bool {
        self.departures.record(departure)
    }

    /// Sends nothing to a start of a backend server for the time that it stated.
    pub(crate) fn close(
        &mut self,
        address: &backend::BackendAddress,
        stated: time::Duration,
        now: time::Instant,
    ) {
        self.closures
            .close(&address.server, address.incarnation.0, stated, now);
    }

    /// Returns how long all backend servers that could take a request are closed; `None` if one of them
    /// is open or there is none.
    pub(crate) fn closed_for(
        &mut self,
        target: &replica::ReplicaTarget,
        now: time::Instant,
    ) -> Option<time::Duration> {
        self.table.candidates(target, now, &mut self.candidates);
        let mut shortest = None;
        for candidate in &self.candidates {
            let server = self.table.server(candidate.server)?;
            let opens_in = self.opens_in(server, now)?;
            shortest = Some(shortest.map_or(opens_in, |known: time::Duration| known.min(opens_in)));
        }
        shortest
    }

    fn opens_in(
        &self,
        server: &replica::ServerEntry,
        now: time::Instant,
    ) -> Option<time::Duration> {
        self.closures
            .opens_in(server.name(), server.incarnation().0, now)
    }

    /// Returns whether a backend server announced in an answer that it leaves.
    fn has_departed(&self, server: &replica::ServerEntry) -> bool {
        let departure = self.departures.get(server.name());
        departure.is_some_and(|departure| departure.covers(server.incarnation().0))
    }

    /// Returns whether a request with this slot may still be sent: its backend server has neither left
    /// nor restarted nor asked for a pause, and the replica does not drain.
    pub(crate) fn accepts(&self, slot: &dispatch::ReplicaSlot, now: time::Instant) -> bool {
        let server = self.table.server(slot.server);
        server.is_some_and(|server| {
            server.takes_work()
                && !self.drains.contains(server, &slot.target)
                && !self.has_departed(server)
                && self.opens_in(server, now).is_none()
        })
    }

    /// Adds a request to the queue of its target.
    pub(crate) fn push(
        &mut self,
        request: dispatch::SlotRequest,
        sender: oneshot::Sender<dispatch::ReplicaSlot>,
        now: time::Instant,
    ) -> Result<queue::QueueTicket, queue::QueueRefusal> {
        let limits = self.limits.clone();
        let queue = self
            .queues
            .entry(request.target.clone())
            .or_insert_with(|| dispatch::TargetQueue::new(limits));
        queue.arrived += 1;
        queue.queue.set_weight(&request.team, request.weight);
        let entry = queue::QueueEntry {
            team: request.team.clone(),
            tokens: request.tokens,
            bytes: request.bytes,
            priority: request.priority,
            deadline: request.deadline,
        };
        let team = request.team.clone();
        let waiter = dispatch::SlotWaiter { request, sender };
        let ticket = queue
            .queue
            .push(entry, waiter, now)
            .map_err(|refused| refused.refusal)?;
        queue.record_enqueued(&team, now);
        Ok(ticket)
    }

    /// Removes a waiting request from its queue.
    pub(crate) fn cancel(
        &mut self,
        target: &replica::ReplicaTarget,
        ticket: queue::QueueTicket,
        now: time::Instant,
    ) -> Option<dispatch::SlotWaiter> {
        let queue = self.queues.get_mut(target)?;
        let cancelled = queue.queue.cancel(ticket)?;
        queue.record_dequeued(&cancelled.entry.team, now);
        Some(cancelled.item)
    }

    /// Returns the predicted wait of a new request, as far as it is known.
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

    /// Assigns replicas to as many waiting requests of a target as capacity allows.
    pub(crate) fn dispatch(
        &mut self,
        target: &replica::ReplicaTarget,
        now: time::Instant,
    ) -> Vec<DispatchedRequest> {
        let mut dispatched = Vec::new();
        while let Some(next) = self.dispatch_one(target, now) {
            dispatched.push(next);
        }
        dispatched
    }

    /// Returns the targets that have waiting requests.
    pub(crate) fn waiting_targets(&self) -> Vec<replica::ReplicaTarget> {
        self.queues
            .iter()
            .filter(|(_, queue)| !queue.queue.is_empty())
            .map(|(target, _)| target.clone())
            .collect()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.queue.len()).sum()
    }

    /// Returns whether a request is waiting for a target that has no replica.
    pub(crate) fn has_cold_waiters(&self) -> bool {
        self.queues
            .values()
            .any(|queue| queue.cold_since.is_some() && !queue.queue.is_empty())
    }

    /// Releases the slot of a request that ended and records the attempt's outcome.
    pub(crate) fn release(&mut self, slot: &dispatch::ReplicaSlot, now: time::Instant) {
        self.table.finish(slot.replica, slot.tokens);
        match slot.outcome {
            dispatch::AttemptOutcome::Unknown => {}
            dispatch::AttemptOutcome::Answered => self.breaker.succeed(slot.server),
            dispatch::AttemptOutcome::ReplicaMissing => {
                self.breaker.succeed(slot.server);
                self.cooldowns.insert(slot.replica, now + REPLICA_COOLDOWN);
            }
            dispatch::AttemptOutcome::Unreachable => {
                self.breaker.fail(slot.server, now);
                self.cooldowns.insert(slot.replica, now + REPLICA_COOLDOWN);
            }
            dispatch::AttemptOutcome::Failed => {
                self.breaker.fail(slot.server, now);
            }
        }
        if let Some(queue) = self.queues.get_mut(&slot.target) {
            queue.running = queue.running.saturating_sub(1);
        }
        self.finish_work(slot);
    }

    fn finish_work(&mut self, slot: &dispatch::ReplicaSlot) {
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

    /// Removes expired announcements and cooldowns; returns the waiting requests past their deadline.
    pub(crate) fn expire(&mut self, now: time::Instant) -> Vec<dispatch::SlotWaiter> {
        self.table.expire(now);
        self.cooldowns.retain(|_, until| *until > now);
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            while let Some(item) = queue.queue.expired(now) {
                queue.record_dequeued(&item.entry.team, now);
                expired.push(item.item);
            }
        }
        self.queues
            .retain(|_, queue| !queue.is_idle() || queue.last_cold_start.is_some());
        expired
    }

    /// Returns the demand for models and adapters, and resets the arrival counts.
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
    ) -> Option<DispatchedRequest> {
        let present = self.find_candidates(target, now);
        let queue = self.queues.get_mut(target)?;
        queue.record_replica_presence(present, now);
        let (table, candidates) = (&self.table, &mut self.candidates);
        let popped = queue.queue.pop(now, |_, waiter| {
            candidates
                .iter()
                .any(|candidate| is_usable(table, candidates, &waiter.request, candidate))
        })?;
        queue.record_dequeued(&popped.entry.team, now);
        queue.running += 1;
        let dispatch::SlotWaiter { request, sender } = popped.item;
        let known = candidates.clone();
        candidates.retain(|candidate| is_usable(table, &known, &request, candidate));
        let replica = self.choose_replica(&request)?;
        self.assign(request, sender, replica, now)
    }

    /// Lists the replicas that may receive requests; returns whether there is any, including full
    /// ones.
    fn find_candidates(&mut self, target: &replica::ReplicaTarget, now: time::Instant) -> bool {
        self.table.candidates(target, now, &mut self.candidates);
        let mut candidates = std::mem::take(&mut self.candidates);
        let (table, drains, cooldowns) = (&self.table, &self.drains, &self.cooldowns);
        candidates.retain(|candidate| {
            let is_cooling_down = cooldowns
                .get(&candidate.key)
                .is_some_and(|until| *until > now);
            let server = table.server(candidate.server);
            !is_cooling_down
                && server.is_some_and(|entry| {
                    !drains.contains(entry, target)
                        && !self.has_departed(entry)
                        && self.opens_in(entry, now).is_none()
                })
        });
        self.candidates = candidates;
        self.breaker.admit(&mut self.candidates, now);
        !self.candidates.is_empty()
    }

    fn choose_replica(&mut self, request: &dispatch::SlotRequest) -> Option<replica::ReplicaKey> {
        let model = match &request.target {
            replica::ReplicaTarget::Artifact(artifact) => Some(&artifact.model),
            replica::ReplicaTarget::Service(_) => None,
        };
        let choice_request = replica::ChoiceRequest {
            model,
            tokens: request.tokens,
            prefix: &request.prefix,
        };
        self.affinity
            .choose(&self.candidates, &choice_request, &mut rand::rng())
    }

    fn assign(
        &mut self,
        request: dispatch::SlotRequest,
        sender: oneshot::Sender<dispatch::ReplicaSlot>,
        replica: replica::ReplicaKey,
        now: time::Instant,
    ) -> Option<DispatchedRequest> {
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
        Some(DispatchedRequest {
            sender,
            request,
            replica,
            server,
            address,
        })
    }
}

/// Returns whether a request may be sent to a candidate: the candidate has free capacity and is not
/// on the backend server of the last attempt, unless all candidates are. Waiting for a full replica
/// on another server is preferred to returning to that server.
fn is_usable(
    table: &replica::ReplicaTable,
    candidates: &[replica::ReplicaCandidate],
    request: &dispatch::SlotRequest,
    candidate: &replica::ReplicaCandidate,
) -> bool {
    if !candidate.has_room(request.concurrency) {
        return false;
    }
    let Some(avoided_server) = &request.avoided_server else {
        return true;
    };
    let is_avoided_server = |candidate: &replica::ReplicaCandidate| {
        table
            .server(candidate.server)
            .is_some_and(|entry| entry.name() == avoided_server)
    };
    !is_avoided_server(candidate) || candidates.iter().all(is_avoided_server)
}
