//! [`VoteRequest`].

use serde::{Deserialize, Serialize};

use crate::log;
use crate::message;

/// A candidate's request for a vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// What is asked for.
    pub kind: message::VoteKind,
    /// Term in which the candidate wants to lead.
    pub term: log::Term,
    /// Last entry of the candidate's log.
    pub last: log::LogPosition,
}
