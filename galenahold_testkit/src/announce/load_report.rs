//! The load of a server.

use serde::{Deserialize, Serialize};

/// The load of a server, as of some time ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Prompt and output tokens not yet computed.
    pub outstanding_tokens: u64,
}
