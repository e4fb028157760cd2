//! The load that a backend server reports.

use serde::{Deserialize, Serialize};

use crate::amount;

/// The load that a backend server reports; it lags behind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServerLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait for the batch.
    pub queued: u32,
    /// Prompt and output tokens still to be worked off.
    pub outstanding_tokens: amount::TokenCount,
}
