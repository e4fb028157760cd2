//! A change of what an engine holds.

use serde::{Deserialize, Serialize};

/// Says what was held of a model from one moment on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEvent {
    /// Microseconds since the Unix epoch.
    pub at_us: u64,
    /// The model or adapter.
    pub model: String,
    /// Its copies that are loading, ready or unloading.
    pub held: u64,
    /// Memory that these copies take.
    pub model_bytes: u64,
    /// Memory in use by all models and adapters.
    pub memory_bytes: u64,
}
