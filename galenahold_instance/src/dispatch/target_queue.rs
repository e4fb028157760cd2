//! Requests that wait for one target.

use std::collections;
use std::time;

use galenahold_domain::name;
use galenahold_domain::placement;
use galenahold_placement::demand;
use galenahold_routing::queue;
use tokio::sync::oneshot;

use crate::dispatch;

/// A request that waits.
#[derive(Debug)]
pub(crate) struct SlotWaiter {
    /// What it needs.
    pub(crate) request: dispatch::SlotRequest,
    /// Where its slot goes.
    pub(crate) sender: oneshot::Sender<dispatch::ReplicaSlot>,
}

/// Requests that wait for one target, and what was seen of its demand.
#[derive(Debug)]
pub(crate) struct TargetQueue {
    /// The waiting requests.
    pub(crate) queue: queue::FairQueue<SlotWaiter>,
    /// Requests that run at replicas of the target.
    pub(crate) running: u32,
    /// Requests that arrived since the last report of demand.
    pub(crate) arrived: u32,
    /// Waiting requests of each team.
    pub(crate) waiting: collections::BTreeMap<name::TeamName, u32>,
    /// When the first of the waiting requests came.
    pub(crate) waiting_since: Option<time::Instant>,
    /// When requests began to wait for a target without any replica.
    pub(crate) cold_since: Option<time::Instant>,
    /// How long the last wait for a first replica took.
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

    /// Counts a request that begins to wait.
    pub(crate) fn record_enqueued(&mut self, team: &name::TeamName, now: time::Instant) {
        *self.waiting.entry(team.clone()).or_insert(0) += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// Counts a request that waits no longer.
    pub(crate) fn record_dequeued(&mut self, team: &name::TeamName, now: time::Instant) {
        if let Some(count) = self.waiting.get_mut(team) {
            *count -= 1;
            if *count == 0 {
                self.waiting.remove(team);
            }
        }
        // The head moved on; the age of the next one is counted from here, which is never too old.
        self.waiting_since = (!self.queue.is_empty()).then_some(now);
    }

    /// Notes whether the target has a replica.
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

    /// Returns the demand for the target, and starts to count arrivals anew.
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

    /// Returns whether there is nothing to tell or keep of the target.
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running == 0 && self.arrived == 0
    }
}
