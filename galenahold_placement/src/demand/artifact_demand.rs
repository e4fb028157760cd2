//! Demand of one instance for one model or adapter, as sent to the leader.

use std::time;

use galenahold_domain::placement;
use serde::{Deserialize, Serialize};

use crate::demand;

/// Demand for one model or adapter at one instance. Each value replaces the instance's previous
/// one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArtifactDemand {
    /// The model or adapter.
    pub artifact: placement::ReplicaArtifact,
    /// Requests that wait for a load or for capacity at a replica.
    pub waiting: u32,
    /// How long the oldest waiting request has waited.
    pub oldest_wait: time::Duration,
    /// Requests that arrived since the instance last reported this artifact.
    pub arrivals: u32,
    /// The waiting requests, by team.
    pub teams: Vec<demand::TeamDemand>,
}
