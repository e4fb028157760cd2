//! Whether a backend server takes new requests.

use serde::{Deserialize, Serialize};

/// Whether a backend server takes new requests; draining lasts until the server's next start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerStage {
    /// It takes new requests.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}
