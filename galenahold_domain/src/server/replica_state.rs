//! The states of a replica that a backend server reports.

use serde::{Deserialize, Serialize};

/// The state of a replica at its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// The replica is being loaded.
    Loading,
    /// The replica takes requests.
    Ready,
    /// The replica is being unloaded.
    Unloading,
}
