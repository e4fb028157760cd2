//! Replication status of one member.

use std::time;

use crate::log;
use crate::member;

/// How long a learner may be silent until it counts as absent; a process that is restarted is back before.
const ABSENCE: time::Duration = time::Duration::from_secs(1);

/// The leader's view of a member's replication progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberReport {
    /// Identity, endpoint and voting status.
    pub member: member::GroupMember,
    /// Highest index known to be durable on the member; `None` if this member does not lead.
    pub matched: Option<log::LogIndex>,
    /// Number of entries by which the member lags; `None` if this member does not lead.
    pub lag_entries: Option<u64>,
    /// Time since the member was last in contact with this leader or one before it, or what the leader
    /// that this member follows has reported; `None` if it is not known, or for the leader itself.
    pub silence: Option<time::Duration>,
    /// Time for which the member has not answered this leader; `None` if this member does not lead.
    pub unanswered: Option<time::Duration>,
    /// Whether the member has answered this leader; false if this member does not lead.
    pub heard: bool,
    /// Whether the member has announced that it stops and has not returned since; false if this member
    /// does not lead.
    pub leaving: bool,
}

impl MemberReport {
    /// Returns whether the member is a learner that is silent: it is in no quorum and can take no voter's place.
    #[must_use]
    pub fn is_absent(&self) -> bool {
        let is_learner = self.member.standing == member::VotingStatus::Learner;
        is_learner && self.silence.is_some_and(|silence| silence >= ABSENCE)
    }
}
