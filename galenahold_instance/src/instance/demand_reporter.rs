//! Reports demand to the leader.

use std::time;

use galenahold_placement::demand;
use galenahold_wire::message;

use crate::dispatch;
use crate::peer;
use crate::task;
use crate::timer;

/// How often demand is reported while there is any.
const REPORT_PERIOD: time::Duration = time::Duration::from_millis(200);

/// How often an instance without demand says so: no replica is unloaded before all instances that had
/// work have reported since they learned that it drains.
const IDLE_PERIOD: time::Duration = time::Duration::from_secs(1);

/// How soon demand is reported when a request arrives.
const ARRIVAL_DELAY: time::Duration = time::Duration::from_millis(2);

/// How long a report may look for the leader; the next one replaces it.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Reports demand to the leader: soon after a request arrives, each period while there is any, and now
/// and then that there is none.
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

    /// Reports until the group stops.
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
                    // Requests that come together are told together.
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
            // What was told before stays to be taken back, and so does what may have been told now.
            self.reported.demands.extend(snapshot.demands);
            self.reported.work.extend(snapshot.work);
        }
    }

    fn reported_within(&self, period: time::Duration, now: time::Instant) -> bool {
        self.reported_at
            .is_some_and(|at| now.saturating_duration_since(at) < period)
    }

    /// Reports all that there is, and takes back what there is no more.
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
