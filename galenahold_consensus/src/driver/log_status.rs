//! Status of a member for callers and operators.

use std::time;

use crate::core;
use crate::driver;
use crate::driver::status_report;
use crate::log;
use crate::member;

/// A periodically published summary of a member's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogStatus {
    /// Identity and endpoint of this member.
    pub profile: member::MemberProfile,
    /// Group of the member; `None` before it joins one.
    pub cluster: Option<member::ClusterId>,
    /// Raft role.
    pub role: core::NodeRole,
    /// Whether the member leads and has applied all entries committed before its term.
    pub ready: bool,
    /// Remaining time of the leader lease; `None` if the member does not lead.
    pub lease: Option<time::Duration>,
    /// Current term.
    pub term: log::Term,
    /// Current leader, if known.
    pub leader: Option<member::MemberProfile>,
    /// Highest index known to be committed.
    pub commit: log::LogIndex,
    /// Highest index applied to the state machine.
    pub applied: log::LogIndex,
    /// Last position of the log.
    pub last: log::LogPosition,
    /// Position of the last snapshot.
    pub snapshot: Option<log::LogPosition>,
    /// Members of the group.
    pub members: Vec<driver::MemberReport>,
    /// Whether this member was removed from the group, which no longer depends on it.
    pub removed: bool,
    /// Members without a group that ask to join this one.
    pub joiners: Vec<member::MemberProfile>,
    /// Number of voters that can fail now while a quorum of healthy voters remains; known only to
    /// the leader.
    pub safe_to_lose: Option<usize>,
    /// Reason why the member takes no part in the group until its data folder accepts writes
    /// again, if that is so.
    pub suspension: Option<std::sync::Arc<str>>,
    /// Reason why the member has stopped participating for good, if it has.
    pub failure: Option<std::sync::Arc<str>>,
}

impl LogStatus {
    /// Returns whether the group of `voters` voters may depend on this member after its end: it has
    /// no successor.
    ///
    /// A member whose removal is not complete has a successor, but the group still depends on it. An
    /// absent learner is no successor.
    #[must_use]
    pub fn is_needed(&self, voters: usize) -> bool {
        let is_member = |report: &driver::MemberReport| report.member.profile.id == self.profile.id;
        let present = self.members.iter().filter(|report| !report.is_absent());
        self.members.iter().any(is_member) && present.count() <= voters
    }

    /// Summarizes the state of a Raft node; what only its driver knows is left empty.
    #[must_use]
    pub fn of_node(node: &core::RaftNode, now: core::MonotonicTime) -> Self {
        let mut status = Self::unjoined(node.settings().profile.clone());
        status_report::fill(&mut status, node, now);
        status
    }

    pub(super) fn unjoined(profile: member::MemberProfile) -> Self {
        Self {
            profile,
            cluster: None,
            role: core::NodeRole::Unjoined,
            ready: false,
            lease: None,
            term: log::Term::ZERO,
            leader: None,
            commit: log::LogIndex::ZERO,
            applied: log::LogIndex::ZERO,
            last: log::LogPosition::default(),
            snapshot: None,
            members: Vec::new(),
            removed: false,
            joiners: Vec::new(),
            safe_to_lose: None,
            suspension: None,
            failure: None,
        }
    }
}
