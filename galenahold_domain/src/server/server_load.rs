//! The load figures in announcements of backend servers.

use serde::{Deserialize, Serialize};

use crate::amount;

/// The load that a backend server reports, which may be outdated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServerLoad {
    /// The number of requests in the running batch.
    pub running: u32,
    /// The number of requests that wait for a place in the batch.
    pub queued: u32,
    /// The number of prompt and output tokens still to be processed.
    pub outstanding_tokens: amount::TokenCount,
}
