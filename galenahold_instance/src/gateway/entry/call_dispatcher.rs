//! Assignment of calls to backend servers.

use std::collections;
use std::sync;
use std::time;

use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;
use galenahold_routing::fleet;
use galenahold_routing::load;
use tokio::sync as tokio_sync;

use crate::gateway::entry;
use crate::platform;
use crate::task;
use crate::timer;

/// How often waiting calls are polled when nothing else happens.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(50);

/// Assigns calls a place (a request slot) at a backend server, as the call scheduler decides.
#[derive(Debug, Clone)]
pub(crate) struct CallDispatcher {
    state: sync::Arc<sync::Mutex<DispatcherState>>,
    /// Notified when a call waits for a model or is refused for one, so that demand is reported
    /// early.
    demand: sync::Arc<tokio_sync::Notify>,
    /// What this instance reports about its use of servers.
    uses: sync::Arc<sync::Mutex<load::UseReporter>>,
    /// Number of waiting calls.
    waiting: sync::Arc<tokio_sync::watch::Sender<u32>>,
    metrics: platform::FleetMetrics,
}

#[derive(Debug)]
struct DispatcherState {
    scheduler: fleet::CallScheduler,
    waiters: collections::HashMap<fleet::CallTicket, PlaceSender>,
}

type PlaceResult = Result<fleet::CallPlacement, fleet::SchedulerRefusal>;
type PlaceSender = tokio_sync::oneshot::Sender<PlaceResult>;

/// A waiting call; dropping it removes the call from the queue.
struct WaitingPlace {
    dispatcher: CallDispatcher,
    ticket: fleet::CallTicket,
    receiver: tokio_sync::oneshot::Receiver<PlaceResult>,
}

impl CallDispatcher {
    /// Creates a dispatcher without servers, for an instance in the given data centre.
    pub(crate) fn new(data_centre: name::DataCentreName, metrics: platform::FleetMetrics) -> Self {
        let state = DispatcherState {
            scheduler: fleet::CallScheduler::in_data_centre(data_centre),
            waiters: collections::HashMap::new(),
        };
        Self {
            state: sync::Arc::new(sync::Mutex::new(state)),
            demand: sync::Arc::default(),
            uses: sync::Arc::default(),
            waiting: sync::Arc::default(),
            metrics,
        }
    }

    /// Starts a task that polls waiting calls until the task group stops.
    pub(crate) fn start(&self, timer: &timer::TimerService, tasks: &task::TaskGroup) {
        let dispatcher = self.clone();
        let mut subscription = timer.subscribe(POLL_PERIOD);
        tasks.spawn_until_stop(async move {
            while subscription.tick().await.is_some() {
                dispatcher.change(|_| {});
            }
        });
    }

    /// Acquires a place for a call, waiting for one if it is expected in time.
    ///
    /// # Errors
    ///
    /// The cause of the refusal, and when a place may be free.
    pub(super) async fn place(
        &self,
        requirements: fleet::CallRequirements,
        is_retry: bool,
    ) -> Result<entry::PlaceLease, fleet::SchedulerRefusal> {
        let now = time::Instant::now();
        let target = requirements.target.clone();
        let waiting = {
            let mut state = self.lock();
            let submission = if is_retry {
                state.scheduler.resubmit(requirements, now)
            } else {
                state.scheduler.submit(requirements, now)
            };
            match submission {
                fleet::CallSubmission::Placed(placement) => {
                    return Ok(self.lease(placement, target));
                }
                fleet::CallSubmission::Refused(refusal) => {
                    self.demand.notify_one();
                    self.metrics.count_unplaced(refusal.cause.as_str());
                    return Err(refusal);
                }
                fleet::CallSubmission::Waiting(ticket) => {
                    let (sender, receiver) = tokio_sync::oneshot::channel();
                    state.waiters.insert(ticket, sender);
                    self.waiting.send_modify(|count| *count += 1);
                    WaitingPlace {
                        dispatcher: self.clone(),
                        ticket,
                        receiver,
                    }
                }
            }
        };
        self.demand.notify_one();
        self.metrics.waiting.inc();
        let placed = waiting.wait().await;
        self.metrics.waiting.dec();
        match placed {
            Ok(placement) => Ok(self.lease(placement, target)),
            Err(refusal) => {
                self.metrics.count_unplaced(refusal.cause.as_str());
                Err(refusal)
            }
        }
    }

    /// Returns whether a call that was placed at this start of the server may still be sent to it.
    pub(super) fn accepts(&self, server: &name::ServerName, started_ms: u64) -> bool {
        let now = time::Instant::now();
        self.lock().scheduler.accepts(server, started_ms, now)
    }

    /// Sends no call to a start of a server for the time that it stated.
    pub(super) fn close(&self, server: &name::ServerName, started_ms: u64, stated: time::Duration) {
        let now = time::Instant::now();
        self.change(|scheduler| scheduler.close(server, started_ms, stated, now));
    }

    /// Records what an attempt showed about its server.
    pub(super) fn observe(
        &self,
        server: &name::ServerName,
        target: Option<&fleet::ModelTarget>,
        report: fleet::AttemptReport,
    ) {
        let now = time::Instant::now();
        self.lock().scheduler.observe(server, target, report, now);
    }

    /// Records that the first event of the answer to a call has arrived, `waited` after the send.
    pub(super) fn begin_answer(&self, run: fleet::RunKey, waited: time::Duration) {
        self.change(|scheduler| scheduler.begin_answer(run, waited));
    }

    /// Records the mean time for an event of the stream of a call.
    pub(super) fn record_events(&self, run: fleet::RunKey, event: time::Duration) {
        let now = time::Instant::now();
        self.lock().scheduler.record_events(run, event, now);
    }

    /// Frees the place of an attempt that has ended.
    pub(super) fn finish(&self, run: fleet::RunKey) {
        let now = time::Instant::now();
        self.change(|scheduler| scheduler.finish(run, now));
    }

    /// Records that a server holds an adapter.
    pub(super) fn record_adapter(&self, server: &name::ServerName, adapter: domain::HeldAdapter) {
        self.lock().scheduler.record_adapter(server, adapter);
    }

    /// Sets the time at which no call may wait any longer, as the instance stops.
    pub(crate) fn close_at(&self, moment: time::Instant) {
        self.change(|scheduler| scheduler.close_at(moment));
    }

    /// Sets until when servers may exist that are missing from the roster.
    pub(super) fn expect_servers_until(&self, moment: time::Instant) {
        self.change(|scheduler| scheduler.expect_servers_until(moment));
    }

    /// Applies a new declaration.
    pub(crate) fn declare(&self, declaration: &declaration::FleetDeclaration) {
        self.change(|scheduler| scheduler.declare(declaration));
    }

    /// Applies a roster update: changed servers, removed servers and the number of followers.
    pub(super) fn apply_roster(
        &self,
        changed: Vec<domain::ServerRecord>,
        removed: &[name::ServerName],
        followers: u32,
    ) {
        let now = time::Instant::now();
        self.change(|scheduler| {
            scheduler.set_followers(followers);
            for name in removed {
                scheduler.remove_server(name);
            }
            for record in changed {
                scheduler.update_server(record, now);
            }
        });
    }

    /// Applies changed records of servers.
    pub(super) fn update_servers(&self, changed: Vec<domain::ServerRecord>) {
        let now = time::Instant::now();
        self.change(|scheduler| {
            for record in changed {
                scheduler.update_server(record, now);
            }
        });
    }

    /// Applies what other instances use at servers.
    pub(super) fn apply_loads(&self, loads: &[load::ServerLoad], paces: &[load::ModelPace]) {
        self.change(|scheduler| {
            scheduler.apply_model_paces(paces);
            scheduler.apply_loads(loads);
        });
    }

    /// Records the time per event of a model's answer at a start of a server.
    pub(super) fn record_pace(
        &self,
        server: &name::ServerName,
        started_ms: u64,
        sample: load::PaceSample,
    ) {
        self.lock_uses().record_pace(server, started_ms, sample);
    }

    /// Takes the demand that has not been reported to the leader yet.
    pub(super) fn take_demand(&self) -> DemandUpdate {
        let now = time::Instant::now();
        let mut state = self.lock();
        DemandUpdate {
            waiting_calls: state.scheduler.waiting_calls(now),
            usages: state.scheduler.take_usages(),
            adapters: state.scheduler.take_used_adapters(),
            servers: self
                .lock_uses()
                .take(state.scheduler.uses().into_iter(), now),
        }
    }

    /// Returns when a call starts to wait for a model or is refused for one.
    pub(super) async fn wait_for_demand(&self) {
        self.demand.notified().await;
    }

    /// Returns whether any call waits.
    pub(super) fn has_waiting(&self) -> bool {
        *self.waiting.borrow() > 0
    }

    /// Returns when at least one call waits.
    pub(super) async fn wait_for_queued_call(&self) {
        let mut counts = self.waiting.subscribe();
        if counts.wait_for(|count| *count > 0).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Applies a change to the scheduler and assigns the places that become free.
    fn change(&self, change: impl FnOnce(&mut fleet::CallScheduler)) {
        let now = time::Instant::now();
        let mut state = self.lock();
        change(&mut state.scheduler);
        if !state.scheduler.has_waiting() {
            return;
        }
        for placed in state.scheduler.poll(now) {
            if let Some(sender) = state.waiters.remove(&placed.ticket) {
                // If the caller left just now, the call returns its place when it is dropped.
                let _ = sender.send(placed.result);
            }
        }
    }

    fn lease(
        &self,
        placement: fleet::CallPlacement,
        target: Option<fleet::ModelTarget>,
    ) -> entry::PlaceLease {
        self.metrics.count_placement(placement.basis.fit.as_str());
        entry::PlaceLease::new(self.clone(), placement, target)
    }

    fn withdraw(&self, ticket: fleet::CallTicket) {
        let mut state = self.lock();
        state.waiters.remove(&ticket);
        state.scheduler.withdraw(ticket);
    }

    /// Locks the reporter; where both locks are held, that of the state is taken first.
    fn lock_uses(&self) -> sync::MutexGuard<'_, load::UseReporter> {
        self.uses
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn lock(&self) -> sync::MutexGuard<'_, DispatcherState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Demand that is to be reported to the leader.
#[derive(Debug)]
pub(super) struct DemandUpdate {
    /// Usage of each model.
    pub(super) usages: Vec<((name::ServiceName, name::ModelName), fleet::ModelUsage)>,
    /// Remaining times of the calls that wait for each model.
    pub(super) waiting_calls:
        collections::HashMap<(name::ServiceName, name::ModelName), Vec<fleet::CallTimes>>,
    /// Adapters that were used, with their servers.
    pub(super) adapters: Vec<(name::ServerName, domain::HeldAdapter)>,
    /// The use of servers; empty if it was just reported.
    pub(super) servers: Vec<load::ServerUse>,
}

impl WaitingPlace {
    async fn wait(mut self) -> PlaceResult {
        let received = (&mut self.receiver).await;
        received.unwrap_or(Err(fleet::SchedulerRefusal {
            cause: fleet::RefusalCause::NoServer,
            retry_after: time::Duration::from_secs(1),
        }))
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        self.dispatcher.withdraw(self.ticket);
        self.dispatcher
            .waiting
            .send_modify(|count| *count = count.saturating_sub(1));
        // Returns a place that was assigned just before the drop.
        if let Ok(Ok(placement)) = self.receiver.try_recv() {
            self.dispatcher.finish(placement.run);
        }
    }
}
