//! How far a view has followed a roster.

use serde::{Deserialize, Serialize};

/// How far a view has followed a roster.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterCursor {
    /// The term of the leadership that keeps the roster.
    pub term: u64,
    /// The roster's version in that term.
    pub version: u64,
    /// Whether the roster had settled: its leader had had the time to hear from all servers.
    #[serde(default)]
    pub settled: bool,
}
