//! State of one model or adapter in the catalog.

use std::collections;
use std::time;

use galenahold_domain::{amount, placement};

use crate::demand;
use crate::engine::artifact_key::ArtifactKey;
use crate::engine::server_key::ServerKey;

/// Limits, demand and replicas of one model or adapter.
#[derive(Debug)]
pub(super) struct ArtifactEntry {
    pub(super) artifact: placement::ReplicaArtifact,
    /// The base model, for an adapter.
    pub(super) base: Option<ArtifactKey>,
    pub(super) bytes: amount::ByteCount,
    pub(super) min_replicas: u32,
    pub(super) max_replicas: u32,
    /// Whether the artifact is part of the current intent.
    pub(super) in_intent: bool,
    pub(super) demand: demand::DemandState,
    pub(super) history: demand::ArrivalHistory,
    /// Requests in flight at all replicas.
    pub(super) in_flight: u32,
    /// Since when no request has been waiting or running.
    pub(super) idle_since: Option<time::Instant>,
    pub(super) replicas: Vec<placement::ReservationId>,
    /// Number of reserves that were requested and not answered yet.
    pub(super) proposed: u32,
    /// Since when requests have been waiting although a replica is loaded and no other is being
    /// loaded.
    pub(super) saturated_since: Option<time::Instant>,
    /// Adapters that wait for a replica of this base model.
    pub(super) waiting_adapters: collections::BTreeSet<ArtifactKey>,
    /// The server on which replicas are evicted for this artifact.
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

    /// Records that requests arrived, which ends an idle gap.
    pub(super) fn record_arrival(&mut self, now: time::Instant) {
        if let Some(since) = self.idle_since.take() {
            self.history.record(now.saturating_duration_since(since));
        }
        self.update_idle_since(now);
    }

    /// Updates the start of the idle gap after a change in waiting or running requests.
    pub(super) fn update_idle_since(&mut self, now: time::Instant) {
        let active = self.demand.waiting() > 0 || self.in_flight > 0;
        if active {
            self.idle_since = None;
        } else {
            self.idle_since.get_or_insert(now);
        }
    }
}
