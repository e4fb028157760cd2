//! The storage tiers of checkpoints.

use serde::{Deserialize, Serialize};

/// The storage that holds a checkpoint, ordered from the nearest to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckpointTier {
    /// The host memory of the backend server.
    Memory,
    /// The local disk of the backend server.
    Disk,
    /// Only the weight store.
    Remote,
}
