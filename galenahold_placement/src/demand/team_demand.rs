//! The part of a team in a demand.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

/// The requests of one team that wait for a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// The team; the empty name on an open route.
    pub team: name::TeamName,
    /// Its waiting requests.
    pub waiting: u32,
}
