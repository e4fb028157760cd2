//! What the engine knows of a backend server.

use std::collections;
use std::time;

use galenahold_domain::{amount, name, placement, server};

use crate::engine::artifact_key::ArtifactKey;
use crate::engine::store_charge::StoreCharge;

/// What the engine knows of a backend server.
#[derive(Debug)]
pub(super) struct ServerEntry {
    pub(super) name: name::ServerName,
    pub(super) incarnation: amount::IncarnationNumber,
    /// Absent until it announced itself.
    pub(super) announced: Option<AnnouncedServer>,
    /// Bytes of all reservations of this incarnation.
    pub(super) reserved: amount::ByteCount,
    pub(super) reservations: Vec<placement::ReservationId>,
    pub(super) proposal: Option<LoadProposal>,
    /// The reservation whose order is not settled.
    pub(super) unresolved: Option<placement::ReservationId>,
    /// The artifact for which room is being made.
    pub(super) claimed_by: Option<ArtifactKey>,
    /// No load is tried again before.
    pub(super) backoff_until: Option<time::Instant>,
    /// Adoptions that were asked for and not answered.
    pub(super) adopting: Vec<ArtifactKey>,
    /// Whether a retire was asked for and not answered.
    pub(super) retiring: bool,
    /// Orders whose replica is gone; late announcements may still show it.
    pub(super) released: collections::VecDeque<ReleasedOrder>,
}

/// What a backend server announced last.
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

/// A reserve that was asked for and not answered.
#[derive(Debug)]
pub(super) struct LoadProposal {
    pub(super) artifact: ArtifactKey,
    pub(super) bytes: amount::ByteCount,
    pub(super) tier: server::CheckpointTier,
    pub(super) charge: StoreCharge,
}

/// An order whose replica is gone.
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
            unresolved: None,
            claimed_by: None,
            backoff_until: None,
            adopting: Vec::new(),
            retiring: false,
            released: collections::VecDeque::new(),
        }
    }

    /// Returns the memory that is neither reserved nor asked for.
    pub(super) fn free(&self) -> amount::ByteCount {
        let capacity = self.announced.as_ref().map(|announced| announced.capacity);
        let proposed = self.proposal.as_ref().map(|proposal| proposal.bytes);
        capacity
            .unwrap_or_default()
            .saturating_sub(self.reserved)
            .saturating_sub(proposed.unwrap_or_default())
    }

    /// Returns whether its announcement is younger than a limit.
    pub(super) fn was_seen_within(&self, limit: time::Duration, now: time::Instant) -> bool {
        let announced = self.announced.as_ref();
        announced.is_some_and(|server| now.saturating_duration_since(server.seen_at) <= limit)
    }

    /// Returns whether it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.announced.as_ref().is_some_and(|server| server.leaving)
    }

    /// Returns whether it refuses orders with an old fencing number; unknown means that it does not.
    pub(super) fn checks_fencing(&self) -> bool {
        self.announced
            .as_ref()
            .is_some_and(|server| server.checks_fencing)
    }

    /// Returns where a model's checkpoint lies, seen from here.
    pub(super) fn tier_of(&self, artifact: &placement::ReplicaArtifact) -> server::CheckpointTier {
        let cached = self.announced.iter().flat_map(|server| &server.cached);
        cached
            .filter(|cached| cached.model == artifact.model && cached.version == artifact.version)
            .map(|cached| cached.tier)
            .min()
            .unwrap_or(server::CheckpointTier::Remote)
    }
}
