//! Persistent state of a member beside its log.

use serde::{Deserialize, Serialize};

use crate::log;
use crate::member;

/// Term and vote, which a member must make durable before it acts on them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: log::Term,
    /// Candidate that received this member's vote in that term.
    pub voted_for: Option<member::MemberId>,
}
