//! The lifecycle stage of a backend server.

use serde::{Deserialize, Serialize};

/// Whether a backend server takes new requests; draining lasts until the server's next start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerStage {
    /// The server takes new requests.
    Ready,
    /// The server finishes its running requests and leaves.
    Draining,
}
