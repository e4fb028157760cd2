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
    /// Up to 8 of the waiting requests, the earliest due first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waiting_calls: Vec<WaitingCall>,
}

/// The remaining times of a waiting request.
///
/// They are encoded as a pair: with the names of the fields, the reports of a burst would exceed their
/// share of the control traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct WaitingCall {
    /// The time until its objective is missed, in milliseconds; 0 if it has been.
    pub due_ms: u32,
    /// The time until its caller leaves or its response could no longer be complete, in milliseconds.
    pub leaves_ms: u32,
}

impl From<(u32, u32)> for WaitingCall {
    fn from((due_ms, leaves_ms): (u32, u32)) -> Self {
        Self { due_ms, leaves_ms }
    }
}

impl From<WaitingCall> for (u32, u32) {
    fn from(call: WaitingCall) -> Self {
        (call.due_ms, call.leaves_ms)
    }
}

/// The use of an adapter at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterUse {
    /// The engine.
    pub server: name::ServerName,
    /// The adapter.
    pub adapter: fleet::HeldAdapter,
}
