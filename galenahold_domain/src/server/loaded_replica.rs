//! The replicas that announcements of backend servers list.

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
    /// The adapter, if the replica is one.
    #[serde(default)]
    pub adapter: Option<name::AdapterName>,
    /// The memory that the replica takes.
    pub bytes: amount::ByteCount,
    /// The number of the order that loaded the replica; zero if no order did.
    #[serde(default)]
    pub order: u64,
    /// The state of the replica.
    pub state: server::ReplicaState,
}
