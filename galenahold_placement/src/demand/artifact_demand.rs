//! The demand for one model or adapter at one instance.

use std::time;

use galenahold_domain::placement;
use serde::{Deserialize, Serialize};

use crate::demand;

/// The demand for one model or adapter at one instance. It replaces what the instance reported
/// before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArtifactDemand {
    /// The model or adapter.
    pub artifact: placement::ReplicaArtifact,
    /// Requests that wait, for a load or for room at a replica.
    pub waiting: u32,
    /// How long the oldest of them waits.
    pub oldest_wait: time::Duration,
    /// Requests that arrived since the instance's last report of it.
    pub arrivals: u32,
    /// The waiting requests by team.
    pub teams: Vec<demand::TeamDemand>,
}
