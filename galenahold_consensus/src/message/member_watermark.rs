//! [`MemberWatermark`].

use serde::{Deserialize, Serialize};

use crate::log;
use crate::member;

/// The highest durable state that a member has vouched for to others.
///
/// A data folder that comes back with less is an older copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWatermark {
    /// The member.
    pub member: member::MemberId,
    /// Number of its starts.
    pub boot: u64,
    /// Random number of its process.
    pub incarnation: u64,
    /// Highest term that it has made durable.
    pub term: log::Term,
    /// Highest index that it acknowledged to the leader of that term.
    pub matched: log::LogIndex,
    /// Highest committed index that it acknowledged to any leader.
    pub committed: log::LogIndex,
}
