//! The targets that counts are held against.

use galenahold_domain::intent;
use serde::{Deserialize, Serialize};

/// The targets that counts are held against, in events per million that have to be good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectiveTargets {
    /// For each of the two latencies.
    pub latency_per_million: u32,
    /// For availability.
    pub availability_per_million: u32,
}

impl ObjectiveTargets {
    /// Takes the targets from a service's objective.
    #[must_use]
    pub fn of(objective: &intent::ServiceObjective) -> Self {
        Self {
            latency_per_million: objective.latency_target_per_million,
            availability_per_million: objective.availability_per_million,
        }
    }
}
