//! A checkpoint near a backend server.

use serde::{Deserialize, Serialize};

use crate::name;
use crate::server;

/// A checkpoint that a backend server can load without the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedCheckpoint {
    /// The model.
    pub model: name::ModelName,
    /// Its version.
    pub version: name::VersionName,
    /// Where the checkpoint lies.
    pub tier: server::CheckpointTier,
}
