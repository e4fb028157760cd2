//! [`VoteResponse`].

use serde::{Deserialize, Serialize};

use crate::log;
use crate::message;

/// Answer to a [`message::VoteRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteResponse {
    /// What was asked for.
    pub kind: message::VoteKind,
    /// Term that was asked for.
    pub term: log::Term,
    /// Whether it is granted.
    pub granted: bool,
}
