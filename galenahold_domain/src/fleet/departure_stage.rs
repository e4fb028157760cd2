//! How far a backend server has come in leaving.

use serde::{Deserialize, Serialize};

/// How far a backend server that leaves has come; both stages last until its next start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DepartureStage {
    /// The server finishes its running requests and takes no new ones.
    Draining,
    /// The server announced that it is gone.
    Left,
}
