//! State of one backend server.

use std::collections;
use std::time;

use galenahold_domain::{amount, name, placement, server};

use crate::engine::artifact_key::ArtifactKey;
use crate::engine::store_charge::StoreCharge;

/// Latest announcement, reservations and pending requests of a backend server.
#[derive(Debug)]
pub(super) struct ServerEntry {
    pub(super) name: name::ServerName,
    pub(super) incarnation: amount::IncarnationNumber,
    /// Latest announcement; absent until the server has announced itself.
    pub(super) announced: Option<AnnouncedServer>,
    /// Total bytes of the current incarnation's reservations.
    pub(super) reserved: amount::ByteCount,
    pub(super) reservations: Vec<placement::ReservationId>,
    pub(super) proposal: Option<LoadProposal>,
    /// The reservation with an unsettled order.
    pub(super) unsettled_order: Option<placement::ReservationId>,
    /// The artifact for which replicas are evicted.
    pub(super) claimed_by: Option<ArtifactKey>,
    /// Time before which no load is tried again.
    pub(super) backoff_until: Option<time::Instant>,
    /// Artifacts whose adoption was requested and not answered yet.
    pub(super) adopting: Vec<ArtifactKey>,
    /// Whether a retire was requested and not answered yet.
    pub(super) retiring: bool,
    /// Released orders; late announcements may still list their replicas.
    pub(super) released: collections::VecDeque<ReleasedOrder>,
}

/// Contents of a backend server's latest announcement.
#[derive(Debug)]
pub(super) struct AnnouncedServer {
    pub(super) sequence: u64,
    pub(super) seen_at: time::Instant,
    pub(super) capacity: amount::ByteCount,
    pub(super) data_centre: name::DataCentreName,
    pub(super) checks_fencing: bool,
    pub(super) leaving: bool,
    pub(super) active_requests: u32,
    pub(super) cached: Vec<server::CachedCheckpoint>,
}

/// Reserve that was requested and not answered yet.
#[derive(Debug)]
pub(super) struct LoadProposal {
    pub(super) artifact: ArtifactKey,
    pub(super) bytes: amount::ByteCount,
    pub(super) tier: server::CheckpointTier,
    pub(super) charge: StoreCharge,
}

/// Order whose reservation was released.
#[derive(Debug)]
pub(super) struct ReleasedOrder {
    pub(super) id: placement::ReservationId,
    pub(super) at: time::Instant,
}

impl ServerEntry {
    pub(super) fn new(name: name::ServerName, incarnation: amount::IncarnationNumber) -> Self {
        Self {
            name,
            incarnation,
            announced: None,
            reserved: amount::ByteCount::ZERO,
            reservations: Vec::new(),
            proposal: None,
            unsettled_order: None,
            claimed_by: None,
            backoff_until: None,
            adopting: Vec::new(),
            retiring: false,
            released: collections::VecDeque::new(),
        }
    }

    /// Returns the memory that is neither reserved nor requested by a pending reserve.
    pub(super) fn free(&self) -> amount::ByteCount {
        let capacity = self.announced.as_ref().map(|announced| announced.capacity);
        let proposed = self.proposal.as_ref().map(|proposal| proposal.bytes);
        capacity
            .unwrap_or_default()
            .saturating_sub(self.reserved)
            .saturating_sub(proposed.unwrap_or_default())
    }

    /// Returns whether the latest announcement is at most `limit` old.
    pub(super) fn was_seen_within(&self, limit: time::Duration, now: time::Instant) -> bool {
        let announced = self.announced.as_ref();
        announced.is_some_and(|server| now.saturating_duration_since(server.seen_at) <= limit)
    }

    /// Returns whether the server is shutting down.
    pub(super) fn is_leaving(&self) -> bool {
        self.announced.as_ref().is_some_and(|server| server.leaving)
    }

    /// Returns whether the server refuses orders with an old fencing number; false if unknown.
    pub(super) fn checks_fencing(&self) -> bool {
        self.announced
            .as_ref()
            .is_some_and(|server| server.checks_fencing)
    }

    /// Returns the nearest tier in which the server has a model's checkpoint.
    pub(super) fn tier_of(&self, artifact: &placement::ReplicaArtifact) -> server::CheckpointTier {
        let cached = self.announced.iter().flat_map(|server| &server.cached);
        cached
            .filter(|cached| cached.model == artifact.model && cached.version == artifact.version)
            .map(|cached| cached.tier)
            .min()
            .unwrap_or(server::CheckpointTier::Remote)
    }
}
