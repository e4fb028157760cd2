//! A service that is offered to teams.

use serde::{Deserialize, Serialize};

use crate::intent;
use crate::name;

const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// A service that is offered to teams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceIntent {
    /// The service's name. Plain backend servers announce it.
    pub name: name::ServiceName,
    /// What the service routes to.
    #[serde(flatten)]
    pub route: intent::RouteKind,
    /// The teams that may call it.
    #[serde(default)]
    pub teams: Vec<name::TeamName>,
    /// Whether callers without a key may call it.
    #[serde(default)]
    pub open: bool,
    /// Priority passed to engines; a lower number goes first.
    #[serde(default)]
    pub priority: i32,
    /// The longest that a request may take before it is refused or ended, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// What the service promises.
    #[serde(default)]
    pub objective: intent::ServiceObjective,
}

fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}
