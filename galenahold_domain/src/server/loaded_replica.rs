//! A model or adapter in a backend server's accelerator memory.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::name;
use crate::server;

/// A model or adapter in a backend server's accelerator memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedReplica {
    /// The model, or the adapter's base model.
    pub model: name::ModelName,
    /// The model's version.
    pub version: name::VersionName,
    /// The adapter, for an adapter.
    #[serde(default)]
    pub adapter: Option<name::AdapterName>,
    /// Memory that it takes.
    pub bytes: amount::ByteCount,
    /// The number of the order that loaded it; zero where no order did.
    #[serde(default)]
    pub order: u64,
    /// Whether it takes requests.
    pub state: server::ReplicaState,
}
