//! [`MemberReport`].

use std::time;

use crate::log;
use crate::member;

/// What the leader knows of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberReport {
    /// Identity, endpoint and standing.
    pub member: member::GroupMember,
    /// Last index known to be durable there; none on members that do not lead.
    pub matched: Option<log::LogIndex>,
    /// Entries by which it is behind the leader; none on members that do not lead.
    pub lag_entries: Option<u64>,
    /// Time since it was last heard of; none on members that do not lead.
    pub silence: Option<time::Duration>,
}
