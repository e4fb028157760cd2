//! State of one reporting instance.

use std::collections;
use std::time;

use galenahold_domain::{amount, placement};

use crate::engine::artifact_key::ArtifactKey;

/// What the engine tracks about an instance that reports demand.
#[derive(Debug)]
pub(super) struct InstanceEntry {
    pub(super) incarnation: amount::IncarnationNumber,
    pub(super) reported_at: time::Instant,
    /// Artifacts that requests of the instance wait for.
    pub(super) waiting: collections::BTreeSet<ArtifactKey>,
    /// Replicas at which requests of the instance are running.
    pub(super) busy_replicas: collections::BTreeSet<placement::ReservationId>,
}
