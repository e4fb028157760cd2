//! A model or adapter that an engine holds.

use super::ReplicaState;
use serde::{Deserialize, Serialize};

/// A model or adapter that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The base model.
    pub model: String,
    /// Its version.
    pub version: String,
    /// The adapter, for entries of adapters.
    pub adapter: Option<String>,
    /// Memory it takes.
    pub bytes: u64,
    /// The number of the order that loaded it.
    pub order: u64,
    /// Where it stands.
    pub state: ReplicaState,
}
