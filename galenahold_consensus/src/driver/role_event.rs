//! Notifications of role changes.

use crate::log;
use crate::member;

/// A change of a member's role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoleEvent {
    /// The member leads and has applied all entries committed before its term.
    Leading {
        /// Position of the first entry of the leader's term.
        since: log::LogPosition,
    },
    /// The member does not lead, or has not yet applied all earlier entries.
    Following {
        /// Current term.
        term: log::Term,
        /// Current leader, if known.
        leader: Option<member::MemberProfile>,
    },
    /// The member no longer participates: its data folder is corrupt or an older copy, or its state
    /// machine cannot read a snapshot. A folder that only refuses writes suspends the member, which
    /// then follows.
    Failed,
    /// The log has stopped.
    Stopped,
}
