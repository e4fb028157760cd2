//! Highest durable state that a member has acknowledged to others.

use serde::{Deserialize, Serialize};

use crate::log;
use crate::member;

/// A lower bound of a member's durable state, collected from its messages.
///
/// A data folder that restarts below its watermark is an older copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWatermark {
    /// Identity of the member.
    pub member: member::MemberId,
    /// Number of the member's latest known start.
    pub boot: u64,
    /// Random number that identifies the member's process of that start.
    pub incarnation: u64,
    /// Highest term that the member has made durable.
    pub term: log::Term,
    /// Highest index that the member acknowledged to the leader of that term.
    pub matched: log::LogIndex,
    /// Highest committed index that the member acknowledged to any leader.
    pub committed: log::LogIndex,
}
