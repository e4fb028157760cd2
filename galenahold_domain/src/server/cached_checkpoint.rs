//! The checkpoints that announcements of backend servers list.

use serde::{Deserialize, Serialize};

use crate::name;
use crate::server;

/// A checkpoint that a backend server can load without the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedCheckpoint {
    /// The model.
    pub model: name::ModelName,
    /// The version of the model.
    pub version: name::VersionName,
    /// The storage that holds the checkpoint.
    pub tier: server::CheckpointTier,
}
