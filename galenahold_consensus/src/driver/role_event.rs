//! [`RoleEvent`].

use crate::log;
use crate::member;

/// A change of a member's role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoleEvent {
    /// The member leads, and its state holds all that was committed before its term.
    Leading {
        /// Position of the first entry of its term.
        since: log::LogPosition,
    },
    /// The member does not lead, or not yet.
    Following {
        /// Its term.
        term: log::Term,
        /// The leader, where it is known.
        leader: Option<member::MemberProfile>,
    },
    /// The member takes no further part: the data folder has failed or is an older copy.
    Failed,
    /// The log has stopped.
    Stopped,
}
