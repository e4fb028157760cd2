//! Which models are asked for at an entry instance.

use galenahold_domain::fleet;
use galenahold_domain::name;
use serde::{Deserialize, Serialize};

/// Which models are asked for at an entry instance, since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// The instance.
    pub instance: name::InstanceName,
    /// How long ago its last report was made, in milliseconds.
    pub span_ms: u64,
    /// The models that were asked for.
    pub models: Vec<ModelCount>,
    /// The adapters that requests were sent to.
    pub adapters: Vec<AdapterUse>,
}

/// How often a model was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelCount {
    /// The service.
    pub service: name::ServiceName,
    /// The model.
    pub model: name::ModelName,
    /// Requests that came.
    pub arrivals: u32,
    /// Requests that wait now.
    pub waiting: u32,
    /// Requests that run now.
    pub running: u32,
}

/// That an adapter was used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterUse {
    /// The engine.
    pub server: name::ServerName,
    /// The adapter.
    pub adapter: fleet::HeldAdapter,
}
