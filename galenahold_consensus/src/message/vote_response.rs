//! The `RequestVote` response of Raft.

use serde::{Deserialize, Serialize};

use crate::log;
use crate::message;

/// Response to a [`message::VoteRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteResponse {
    /// Kind of vote that was requested.
    pub kind: message::VoteKind,
    /// Term of the vote request.
    pub term: log::Term,
    /// Whether the vote or pre-vote is granted.
    pub granted: bool,
}
