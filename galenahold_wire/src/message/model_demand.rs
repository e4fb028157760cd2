//! Reports of the demand for models.

use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_routing::load;
use serde::{Deserialize, Serialize};

/// The demand for models at an entry instance since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// The entry instance.
    pub instance: name::InstanceName,
    /// The time since the instance's last report, in milliseconds.
    pub span_ms: u64,
    /// The requests for each model.
    pub models: Vec<ModelCount>,
    /// The adapters that requests used.
    pub adapters: Vec<AdapterUse>,
    /// The instance's own use of backend servers: those with calls in flight, with a change since the last list,
    /// or with measurements.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<load::ServerUse>,
}

/// The requests for one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelCount {
    /// The service.
    pub service: name::ServiceName,
    /// The model.
    pub model: name::ModelName,
    /// Requests that arrived since the last report.
    pub arrivals: u32,
    /// Requests that are waiting now.
    pub waiting: u32,
    /// Requests that are running now.
    pub running: u32,
}

/// The use of an adapter at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterUse {
    /// The engine.
    pub server: name::ServerName,
    /// The adapter.
    pub adapter: fleet::HeldAdapter,
}
