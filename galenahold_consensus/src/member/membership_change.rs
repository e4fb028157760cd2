//! Requests to change the membership of a group.

use crate::member;

/// A change of the membership; larger changes are made as a series of these.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a member that receives the log without voting.
    AddLearner(member::MemberProfile),
    /// Makes a learner that has caught up a voter.
    Promote(member::MemberId),
    /// Makes a voter a learner.
    Demote(member::MemberId),
    /// Makes a learner that has caught up a voter in place of another one, which becomes a learner.
    Exchange {
        /// The voter that becomes a learner.
        demoted: member::MemberId,
        /// The learner that becomes a voter.
        promoted: member::MemberId,
    },
    /// Makes a learner that has caught up a voter in place of another one, which is removed.
    Replace {
        /// The voter that is removed.
        removed: member::MemberId,
        /// The learner that becomes a voter.
        promoted: member::MemberId,
    },
    /// Removes a voter or learner.
    Remove(member::MemberId),
}
