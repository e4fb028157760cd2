//! The leader's answer to a call about backend servers.

use serde::{Deserialize, Serialize};

/// The leader's answer to a call about the backend servers of declared services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetReply {
    /// The report was taken.
    Taken,
    /// The engine holds the adapter, or will in a moment.
    AdapterComes {
        /// How long the rest of its load is expected to take, in milliseconds.
        ready_in_ms: u64,
    },
    /// The engine cannot hold the adapter now.
    AdapterRefused {
        /// Why.
        reason: String,
        /// When it is expected to take it, in milliseconds; none where it never will.
        #[serde(default)]
        retry_in_ms: Option<u64>,
    },
}
