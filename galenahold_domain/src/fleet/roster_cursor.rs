//! The position of a follower in the versions of a roster.

use serde::{Deserialize, Serialize};

/// The version of a leader's roster up to which a view has followed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterCursor {
    /// The term of the leader that maintains the roster.
    pub term: u64,
    /// The version of the roster in that term.
    pub version: u64,
    /// Whether the roster had settled: its leader had had time to receive a notice of every server.
    #[serde(default)]
    pub settled: bool,
}
