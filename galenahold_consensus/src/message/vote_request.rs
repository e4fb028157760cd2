//! The `RequestVote` request of Raft.

use serde::{Deserialize, Serialize};

use crate::log;
use crate::message;

/// A candidate's request for a vote or pre-vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Kind of vote that is requested.
    pub kind: message::VoteKind,
    /// Term for which the candidate wants to be elected.
    pub term: log::Term,
    /// Position of the last entry of the candidate's log.
    pub last: log::LogPosition,
}
