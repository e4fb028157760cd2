//! Where a loaded model stands.

use serde::{Deserialize, Serialize};

/// Where a loaded model stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReplicaState {
    /// It takes requests.
    Ready,
    /// It is being loaded.
    Loading,
    /// It is being unloaded.
    Unloading,
}
