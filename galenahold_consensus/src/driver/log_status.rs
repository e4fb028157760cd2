//! [`LogStatus`].

use std::time;

use crate::core;
use crate::driver;
use crate::log;
use crate::member;

/// A member's state at a moment shortly ago.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogStatus {
    /// The member itself.
    pub profile: member::MemberProfile,
    /// Its group; none while it has not joined one.
    pub cluster: Option<member::ClusterId>,
    /// Its role.
    pub role: core::NodeRole,
    /// It leads and its state holds all that was committed before its term.
    pub ready: bool,
    /// How long its lease still lasts; none if it does not lead.
    pub lease: Option<time::Duration>,
    /// Its term.
    pub term: log::Term,
    /// The leader, where it is known.
    pub leader: Option<member::MemberProfile>,
    /// Highest index known to be committed.
    pub commit: log::LogIndex,
    /// Highest index applied to the state machine.
    pub applied: log::LogIndex,
    /// Last position of the log.
    pub last: log::LogPosition,
    /// Position of the last snapshot.
    pub snapshot: Option<log::LogPosition>,
    /// The members.
    pub members: Vec<driver::MemberReport>,
    /// Data folders that ask to join and belong to no group.
    pub joiners: Vec<member::MemberProfile>,
    /// How many voters can be lost now while a quorum of voters that have caught up remains; only
    /// the leader knows it.
    pub safe_to_lose: Option<usize>,
    /// Why the member takes no further part.
    pub failure: Option<std::sync::Arc<str>>,
}

impl LogStatus {
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
            joiners: Vec::new(),
            safe_to_lose: None,
            failure: None,
        }
    }
}
