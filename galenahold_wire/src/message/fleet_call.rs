//! A call about the backend servers of declared services.

use galenahold_domain::fleet;
use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::message;

/// A call of an entry instance about the backend servers of declared services.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetCall {
    /// Reports which models are asked for.
    Demand(message::ModelDemand),
    /// Asks for an adapter at an engine that holds its model.
    Adapter {
        /// The engine.
        server: name::ServerName,
        /// The adapter.
        adapter: fleet::HeldAdapter,
    },
}
