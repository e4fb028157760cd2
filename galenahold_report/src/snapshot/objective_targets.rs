//! Targets of the objectives.

use galenahold_domain::intent;
use serde::{Deserialize, Serialize};

/// The targets of the objectives, in good events per million.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectiveTargets {
    /// The target of each of the two latencies: first token and between tokens.
    pub latency_per_million: u32,
    /// The target of availability.
    pub availability_per_million: u32,
}

impl ObjectiveTargets {
    /// Returns the targets of a service's objective.
    #[must_use]
    pub fn of(objective: &intent::ServiceObjective) -> Self {
        Self {
            latency_per_million: objective.latency_target_per_million,
            availability_per_million: objective.availability_per_million,
        }
    }
}
