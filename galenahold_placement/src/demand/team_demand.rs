//! Waiting requests of one team.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

/// Requests of one team that wait for a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// The team; empty for requests on an open route.
    pub team: name::TeamName,
    /// The number of waiting requests.
    pub waiting: u32,
}
