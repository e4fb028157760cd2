//! Reports this instance's demand for replicas to the leader.

use std::time;

use galenahold_placement::demand;
use galenahold_wire::message;

use crate::dispatch;
use crate::peer;
use crate::task;
use crate::timer;

/// The report interval while there is demand.
const REPORT_PERIOD: time::Duration = time::Duration::from_millis(200);

/// The report interval of an instance without demand. Such an instance has to report too: a replica is not
/// unloaded before all instances that had work for it have reported since they learned that it drains.
const IDLE_PERIOD: time::Duration = time::Duration::from_secs(1);

/// The delay from the arrival of a request to the report of its demand.
const ARRIVAL_DELAY: time::Duration = time::Duration::from_millis(2);

/// The timeout of a report, including the search for the leader; the next report replaces it.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Reports demand to the leader: soon after a request arrives, periodically while there is demand, and at a
/// longer interval while there is none.
#[derive(Debug)]
pub(crate) struct DemandReporter<Handler> {
    dispatcher: dispatch::Dispatcher,
    client: peer::ControlClient<Handler>,
    card: message::InstanceProfile,
    reported: dispatch::DemandSnapshot,
    reported_at: Option<time::Instant>,
}

impl<Handler: peer::LocalHandler> DemandReporter<Handler> {
    /// Creates a reporter.
    pub(crate) fn new(
        dispatcher: dispatch::Dispatcher,
        client: peer::ControlClient<Handler>,
        card: message::InstanceProfile,
    ) -> Self {
        Self {
            dispatcher,
            client,
            card,
            reported: dispatch::DemandSnapshot::default(),
            reported_at: None,
        }
    }

    /// Starts the reports, which run until the task group stops.
    pub(crate) fn start(mut self, timer: &timer::TimerService, group: &task::TaskGroup) {
        let mut subscription = timer.subscribe(REPORT_PERIOD);
        let dispatcher = self.dispatcher.clone();
        group.spawn_until_stop(async move {
            loop {
                let arrived = tokio::select! {
                    tick = subscription.tick() => match tick {
                        Some(_) => false,
                        None => return,
                    },
                    () = dispatcher.wait_for_arrival() => true,
                };
                if arrived {
                    // Requests that arrive together are reported together.
                    tokio::time::sleep(ARRIVAL_DELAY).await;
                }
                self.report(arrived).await;
            }
        });
    }

    async fn report(&mut self, arrived: bool) {
        if arrived && !self.dispatcher.has_cold_waiters() {
            return;
        }
        let now = time::Instant::now();
        let snapshot = self.dispatcher.take_demand(now);
        let report = self.compose(&snapshot);
        let idle = report.demands.is_empty() && report.work.is_empty();
        if idle && self.reported_within(IDLE_PERIOD, now) {
            return;
        }
        let call = message::ControlCall::Demand(report);
        let reported = self.client.call(call, now + REPORT_TIMEOUT).await;
        if reported.is_ok() {
            self.reported = snapshot;
            self.reported_at = Some(now);
        } else {
            // The leader may hold both the earlier report and this one; entries of either must be withdrawn
            // once they end.
            self.reported.demands.extend(snapshot.demands);
            self.reported.work.extend(snapshot.work);
        }
    }

    fn reported_within(&self, period: time::Duration, now: time::Instant) -> bool {
        self.reported_at
            .is_some_and(|at| now.saturating_duration_since(at) < period)
    }

    /// Composes a report of all current demand and work, with zero for entries that have ended.
    fn compose(&self, snapshot: &dispatch::DemandSnapshot) -> demand::DemandReport {
        let ended = self
            .reported
            .demands
            .keys()
            .filter(|artifact| !snapshot.demands.contains_key(*artifact))
            .map(|artifact| demand::ArtifactDemand {
                artifact: artifact.clone(),
                waiting: 0,
                oldest_wait: time::Duration::ZERO,
                arrivals: 0,
                teams: Vec::new(),
            });
        let idle = self
            .reported
            .work
            .keys()
            .filter(|key| !snapshot.work.contains_key(*key))
            .map(|key| key.work(0));
        let busy = snapshot
            .work
            .iter()
            .map(|(key, in_flight)| key.work(*in_flight));
        demand::DemandReport {
            instance: self.card.name.clone(),
            incarnation: self.card.incarnation,
            demands: snapshot.demands.values().cloned().chain(ended).collect(),
            work: busy.chain(idle).collect(),
        }
    }
}
