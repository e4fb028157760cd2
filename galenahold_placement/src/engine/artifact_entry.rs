//! What the engine knows of a model or adapter.

use std::collections;
use std::time;

use galenahold_domain::{amount, placement};

use crate::demand;
use crate::engine::artifact_key::ArtifactKey;
use crate::engine::server_key::ServerKey;

/// What the engine knows of a model or adapter.
#[derive(Debug)]
pub(super) struct ArtifactEntry {
    pub(super) artifact: placement::ReplicaArtifact,
    /// The base model, for an adapter.
    pub(super) base: Option<ArtifactKey>,
    pub(super) bytes: amount::ByteCount,
    pub(super) min_replicas: u32,
    pub(super) max_replicas: u32,
    /// Whether the intent in force has it.
    pub(super) in_intent: bool,
    pub(super) demand: demand::DemandState,
    pub(super) history: demand::ArrivalHistory,
    /// Requests under way at all replicas.
    pub(super) in_flight: u32,
    /// Since when no request waits or runs.
    pub(super) idle_since: Option<time::Instant>,
    pub(super) replicas: Vec<placement::ReservationId>,
    /// Reserves that were asked for and not answered.
    pub(super) proposed: u32,
    /// Since when requests wait although a replica is loaded and none is being loaded.
    pub(super) saturated_since: Option<time::Instant>,
    /// Adapters that wait for a replica of this base model.
    pub(super) waiting_adapters: collections::BTreeSet<ArtifactKey>,
    /// The server on which room is being made for it.
    pub(super) eviction_server: Option<ServerKey>,
}

impl ArtifactEntry {
    pub(super) fn new(
        artifact: placement::ReplicaArtifact,
        base: Option<ArtifactKey>,
        bytes: amount::ByteCount,
        now: time::Instant,
    ) -> Self {
        Self {
            artifact,
            base,
            bytes,
            min_replicas: 0,
            max_replicas: 0,
            in_intent: false,
            demand: demand::DemandState::default(),
            history: demand::ArrivalHistory::default(),
            in_flight: 0,
            idle_since: Some(now),
            replicas: Vec::new(),
            proposed: 0,
            saturated_since: None,
            waiting_adapters: collections::BTreeSet::new(),
            eviction_server: None,
        }
    }

    /// Notes that requests arrived: the end of a gap.
    pub(super) fn record_arrival(&mut self, now: time::Instant) {
        if let Some(since) = self.idle_since.take() {
            self.history.record(now.saturating_duration_since(since));
        }
        self.update_idle_since(now);
    }

    /// Notes that requests wait or run, or that none do any more.
    pub(super) fn update_idle_since(&mut self, now: time::Instant) {
        let active = self.demand.waiting() > 0 || self.in_flight > 0;
        if active {
            self.idle_since = None;
        } else {
            self.idle_since.get_or_insert(now);
        }
    }
}
