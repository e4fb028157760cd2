//! Replies to calls about the backend servers of declared services.

use serde::{Deserialize, Serialize};

/// The leader's reply to a call about the backend servers of declared services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetReply {
    /// The report was accepted.
    Taken,
    /// The report was not recorded in time; it can be repeated.
    NotRecorded,
    /// The engine has loaded the adapter or is loading it.
    AdapterComes {
        /// The expected remaining load time, in milliseconds.
        ready_in_ms: u64,
    },
    /// The engine cannot load the adapter now.
    AdapterRefused {
        /// The reason for the refusal.
        reason: String,
        /// The time until the engine is expected to accept the adapter, in milliseconds; none if it never will.
        #[serde(default)]
        retry_in_ms: Option<u64>,
    },
}
