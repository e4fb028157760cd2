//! Demand for models and adapters at one instance.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::message;

/// Demand for models and adapters at one instance; it replaces the instance's last report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DemandReport {
    /// Who reports.
    pub card: message::InstanceCard,
    /// Grows by one with each report of an incarnation.
    pub sequence: u64,
    /// Whether targets that are not named have no demand; otherwise they are unchanged.
    pub full: bool,
    /// Demand a target.
    pub targets: Vec<TargetDemand>,
}

/// Demand for one model or adapter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetDemand {
    /// The model or, for an adapter, its base model.
    pub model: name::ModelName,
    /// The adapter.
    #[serde(default)]
    pub adapter: Option<name::AdapterName>,
    /// How long the first request in line has waited, in milliseconds.
    pub oldest_wait_ms: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that arrived since the last report.
    pub arrived: u32,
    /// Requests that wait, a number a team.
    pub waiting: Vec<TeamDemand>,
}

/// Requests of one team that wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// The team; the empty name on open routes.
    pub team: name::TeamName,
    /// Requests.
    pub waiting: u32,
}
