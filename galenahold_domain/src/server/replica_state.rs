//! The state of a replica at its backend server.

use serde::{Deserialize, Serialize};

/// The state of a replica at its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// It is being loaded.
    Loading,
    /// It takes requests.
    Ready,
    /// It is being unloaded.
    Unloading,
}
