//! Where a checkpoint is cached.

use serde::{Deserialize, Serialize};

/// Where a checkpoint is cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheTier {
    /// In the host's memory.
    Memory,
    /// On the host's disk.
    Disk,
}
