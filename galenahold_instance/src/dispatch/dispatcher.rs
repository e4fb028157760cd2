//! Queues requests and assigns them to replicas.

use std::sync;
use std::time;

use galenahold_domain::fleet;
use galenahold_domain::server;
use galenahold_routing::admission;
use galenahold_routing::queue;
use galenahold_routing::replica;
use galenahold_wire::message;
use tokio::sync::oneshot;

use crate::api;
use crate::backend;
use crate::dispatch;
use crate::platform;

/// Queues requests per target and assigns them to replicas, in fair order between teams.
#[derive(Debug, Clone)]
pub(crate) struct Dispatcher {
    state: sync::Arc<sync::Mutex<dispatch::DispatchState>>,
    rule: admission::AdmissionRule,
    metrics: platform::FleetMetrics,
    arrival_notify: sync::Arc<tokio::sync::Notify>,
}

impl Dispatcher {
    /// Creates a dispatcher over an initial state.
    pub(crate) fn new(state: dispatch::DispatchState, metrics: platform::FleetMetrics) -> Self {
        Self {
            state: sync::Arc::new(sync::Mutex::new(state)),
            rule: admission::AdmissionRule::default(),
            metrics,
            arrival_notify: sync::Arc::default(),
        }
    }

    /// Waits for a slot at a replica until the request's deadline.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `NotRun` if the queue is full, the predicted wait exceeds the
    /// deadline or no replica becomes available in time.
    pub(crate) async fn acquire(
        &self,
        request: dispatch::SlotRequest,
    ) -> Result<dispatch::ReplicaSlot, api::RequestRefusal> {
        let now = time::Instant::now();
        let deadline = request.deadline;
        let target = request.target.clone();
        let (sender, receiver) = oneshot::channel();
        let ticket = self.enqueue(request, sender, now)?;
        let _ticket = dispatch::WaitTicket::new(self.clone(), target.clone(), ticket);
        self.dispatch(&target);
        self.arrival_notify.notify_one();
        match tokio::time::timeout_at(deadline.into(), receiver).await {
            Ok(Ok(slot)) => Ok(slot),
            _ => Err(refuse_deadline_exceeded()),
        }
    }

    /// Waits until a request arrives.
    pub(crate) async fn wait_for_arrival(&self) {
        self.arrival_notify.notified().await;
    }

    /// Applies an announcement of a backend server.
    pub(crate) fn announce(
        &self,
        announcement: &server::ServerAnnouncement,
        age: time::Duration,
        now: time::Instant,
    ) {
        self.lock().announce(announcement, age, now);
    }

    /// Applies a notice that a replica was loaded.
    pub(crate) fn mark_ready(&self, notice: &message::ReplicaNotice) {
        self.lock().mark_ready(notice);
    }

    /// Applies a prefix cache event of a backend server.
    pub(crate) fn apply_cache_event(&self, event: &server::CacheEvent) {
        self.lock().apply_cache_event(event);
    }

    /// Replaces the set of draining replicas.
    pub(crate) fn set_drains(&self, list: &message::DrainList) {
        self.lock().set_drains(list);
    }

    /// Records a departure that a backend server announced in an answer; returns whether it is new.
    pub(crate) fn record_departure(&self, departure: fleet::ServerDeparture) -> bool {
        self.lock().record_departure(departure)
    }

    /// Sends nothing to a start of a backend server for the time that it stated.
    pub(crate) fn close(&self, address: &backend::BackendAddress, stated: time::Duration) {
        self.lock().close(address, stated, time::Instant::now());
    }

    /// Assigns replicas to the waiting requests of all targets.
    pub(crate) fn dispatch_all(&self) {
        let targets = self.lock().waiting_targets();
        for target in targets {
            self.dispatch(&target);
        }
    }

    /// Removes expired state and refuses waiting requests whose deadline has passed.
    pub(crate) fn expire(&self, now: time::Instant) {
        let mut state = self.lock();
        let expired = state.expire(now);
        let waiting = state.waiting();
        drop(state);
        // Dropping a waiter closes its channel, which refuses the request.
        drop(expired);
        self.metrics
            .waiting
            .set(i64::try_from(waiting).unwrap_or(i64::MAX));
    }

    /// Returns whether a request is waiting for a target that has no replica.
    pub(crate) fn has_cold_waiters(&self) -> bool {
        self.lock().has_cold_waiters()
    }

    /// Returns the demand for models and adapters since the last call.
    pub(crate) fn take_demand(&self, now: time::Instant) -> dispatch::DemandSnapshot {
        self.lock().take_demand(now)
    }

    /// Returns whether a request with this slot may still be sent.
    pub(super) fn accepts(&self, slot: &dispatch::ReplicaSlot) -> bool {
        self.lock().accepts(slot, time::Instant::now())
    }

    /// Releases a slot and assigns its capacity to the next waiting request.
    pub(super) fn release(&self, slot: &dispatch::ReplicaSlot) {
        self.lock().release(slot, time::Instant::now());
        self.dispatch(&slot.target);
    }

    /// Removes a waiting request from its queue.
    pub(super) fn cancel(&self, target: &replica::ReplicaTarget, ticket: queue::QueueTicket) {
        let cancelled = self.lock().cancel(target, ticket, time::Instant::now());
        drop(cancelled);
    }

    fn enqueue(
        &self,
        request: dispatch::SlotRequest,
        sender: oneshot::Sender<dispatch::ReplicaSlot>,
        now: time::Instant,
    ) -> Result<queue::QueueTicket, api::RequestRefusal> {
        let left = request.deadline.saturating_duration_since(now);
        let mut state = self.lock();
        if let Some(opens_in) = state.closed_for(&request.target, now) {
            return Err(refuse_closed().retry_after(opens_in));
        }
        let wait = state.predicted_wait(&request);
        if let admission::AdmissionDecision::Refuse { retry_after } = self.rule.decide(&wait, left)
        {
            return Err(refuse_unmeetable_deadline().retry_after(retry_after));
        }
        state.push(request, sender, now).map_err(refuse_queue)
    }

    fn dispatch(&self, target: &replica::ReplicaTarget) {
        let dispatched = self.lock().dispatch(target, time::Instant::now());
        for next in dispatched {
            let slot = dispatch::ReplicaSlot {
                dispatcher: self.clone(),
                target: target.clone(),
                replica: next.replica,
                server: next.server,
                tokens: next.request.tokens,
                address: next.address,
                outcome: dispatch::AttemptOutcome::Unknown,
                taken_at: time::Instant::now(),
            };
            // If the request was cancelled in the meantime, the slot is dropped here, which
            // releases it.
            drop(next.sender.send(slot));
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, dispatch::DispatchState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn refuse_deadline_exceeded() -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::DeadlineExceeded,
        "no replica became available before the request's deadline",
    )
    .retry_after(time::Duration::from_secs(1))
}

fn refuse_closed() -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::BackendUnavailable,
        "all backend servers that could take the request have asked for a pause",
    )
}

fn refuse_unmeetable_deadline() -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::QueueFull,
        "the request would not be served before its deadline",
    )
}

fn refuse_queue(refusal: queue::QueueRefusal) -> api::RequestRefusal {
    match refusal {
        queue::QueueRefusal::Full { retry_after } => api::RequestRefusal::not_run(
            api::RefusalKind::QueueFull,
            "the team's part of the queue is full",
        )
        .retry_after(retry_after),
        queue::QueueRefusal::DeadlinePassed => refuse_deadline_exceeded(),
    }
}
