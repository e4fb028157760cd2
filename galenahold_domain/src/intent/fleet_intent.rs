//! The whole of what operators want.

use serde::{Deserialize, Serialize};

use crate::intent;

/// The whole of what operators want, as one document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetIntent {
    /// The teams, each with its rate, burst and weight.
    #[serde(default)]
    pub teams: Vec<intent::TeamIntent>,
    /// The models with their adapters.
    #[serde(default)]
    pub models: Vec<intent::ModelIntent>,
    /// The services, each of which offers models or a plain service to teams.
    #[serde(default)]
    pub services: Vec<intent::ServiceIntent>,
    /// What the weight store bears.
    #[serde(default)]
    pub store: intent::StoreLimits,
}
