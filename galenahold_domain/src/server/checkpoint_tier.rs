//! Where a checkpoint lies, seen from a backend server.

use serde::{Deserialize, Serialize};

/// Where a checkpoint lies, seen from a backend server; the nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckpointTier {
    /// In host memory.
    Memory,
    /// On the local disk.
    Disk,
    /// In the weight store only.
    Remote,
}
