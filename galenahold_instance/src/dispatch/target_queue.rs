//! Queue and demand counters of one target.

use std::collections;
use std::time;

use galenahold_domain::name;
use galenahold_domain::placement;
use galenahold_placement::demand;
use galenahold_routing::queue;
use tokio::sync::oneshot;

use crate::dispatch;

/// A request in a queue, with the channel that delivers its slot.
#[derive(Debug)]
pub(crate) struct SlotWaiter {
    /// The requirements of the request.
    pub(crate) request: dispatch::SlotRequest,
    /// The channel that delivers the slot.
    pub(crate) sender: oneshot::Sender<dispatch::ReplicaSlot>,
}

/// The requests that wait for one target, with counters of its demand.
#[derive(Debug)]
pub(crate) struct TargetQueue {
    /// The waiting requests, in fair order between teams.
    pub(crate) queue: queue::FairQueue<SlotWaiter>,
    /// The number of requests in progress at replicas of the target.
    pub(crate) running: u32,
    /// The number of requests that arrived since the last demand report.
    pub(crate) arrived: u32,
    /// The number of waiting requests per team.
    pub(crate) waiting: collections::BTreeMap<name::TeamName, u32>,
    /// The time from which the age of the oldest waiting request is counted; never before its
    /// arrival.
    pub(crate) waiting_since: Option<time::Instant>,
    /// Since when requests have been waiting while the target has no replica.
    pub(crate) cold_since: Option<time::Instant>,
    /// The duration of the last cold start, from the first waiting request to the first replica.
    pub(crate) last_cold_start: Option<time::Duration>,
}

impl TargetQueue {
    /// Creates an empty queue.
    pub(crate) fn new(limits: queue::QueueLimits) -> Self {
        Self {
            queue: queue::FairQueue::new(limits),
            running: 0,
            arrived: 0,
            waiting: collections::BTreeMap::new(),
            waiting_since: None,
            cold_since: None,
            last_cold_start: None,
        }
    }

    /// Records that a request of a team starts to wait.
    pub(crate) fn record_enqueued(&mut self, team: &name::TeamName, now: time::Instant) {
        *self.waiting.entry(team.clone()).or_insert(0) += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// Records that a request of a team no longer waits.
    pub(crate) fn record_dequeued(&mut self, team: &name::TeamName, now: time::Instant) {
        if let Some(count) = self.waiting.get_mut(team) {
            *count -= 1;
            if *count == 0 {
                self.waiting.remove(team);
            }
        }
        // The oldest request may have left the queue. The age of the next one is counted from now,
        // which never overstates it.
        self.waiting_since = (!self.queue.is_empty()).then_some(now);
    }

    /// Records whether the target has a replica, to measure cold starts.
    pub(crate) fn record_replica_presence(&mut self, present: bool, now: time::Instant) {
        if present {
            if let Some(since) = self.cold_since.take() {
                self.last_cold_start = Some(now.saturating_duration_since(since));
            }
        } else if !self.queue.is_empty() {
            self.cold_since.get_or_insert(now);
        } else {
            self.cold_since = None;
        }
    }

    /// Returns the demand for the target, and resets the arrival count.
    pub(crate) fn take_demand(
        &mut self,
        artifact: &placement::ReplicaArtifact,
        now: time::Instant,
    ) -> demand::ArtifactDemand {
        let oldest_wait = self
            .waiting_since
            .map_or(time::Duration::ZERO, |since| now.duration_since(since));
        let teams = self
            .waiting
            .iter()
            .map(|(team, waiting)| demand::TeamDemand {
                team: team.clone(),
                waiting: *waiting,
            });
        demand::ArtifactDemand {
            artifact: artifact.clone(),
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            oldest_wait,
            arrivals: std::mem::take(&mut self.arrived),
            teams: teams.collect(),
        }
    }

    /// Returns whether the target has no requests waiting or in progress and no arrivals to report.
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running == 0 && self.arrived == 0
    }
}
