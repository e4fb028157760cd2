//! What the engine knows of an instance that reports demand.

use std::collections;
use std::time;

use galenahold_domain::{amount, placement};

use crate::engine::artifact_key::ArtifactKey;

/// What the engine knows of an instance that reports demand.
#[derive(Debug)]
pub(super) struct InstanceEntry {
    pub(super) incarnation: amount::IncarnationNumber,
    pub(super) reported_at: time::Instant,
    /// Artifacts for which its requests wait.
    pub(super) waiting: collections::BTreeSet<ArtifactKey>,
    /// Replicas at which its requests are under way.
    pub(super) working: collections::BTreeSet<placement::ReservationId>,
}
