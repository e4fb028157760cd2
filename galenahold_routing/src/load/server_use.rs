//! An entry instance's use of a backend server.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::load;

/// What the calls of one entry instance use at a server, and how fast its answers came.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerUse {
    /// The server.
    pub server: name::ServerName,
    /// When this run of the server started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Calls in flight.
    pub running: u32,
    /// Prompt tokens of the calls whose answer has not begun.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unread_tokens: u32,
    /// Expected tokens in the server's memory for the calls in flight.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cache_tokens: u32,
    /// Measurements since the last report.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<load::PaceSample>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the derive passes a reference"
)]
fn is_zero(amount: &u32) -> bool {
    *amount == 0
}
