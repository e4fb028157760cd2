//! Calls to the leader about the backend servers of declared services.

use galenahold_domain::fleet;
use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::message;

/// An entry instance's call about the backend servers of declared services.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetCall {
    /// Reports that a backend server announced in an answer that it leaves.
    Departed(fleet::ServerDeparture),
    /// Reports the demand for models.
    Demand(message::ModelDemand),
    /// Requests that an engine which has loaded the base model also loads an adapter.
    Adapter {
        /// The engine.
        server: name::ServerName,
        /// The adapter.
        adapter: fleet::HeldAdapter,
    },
}
