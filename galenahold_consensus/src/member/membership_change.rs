//! Requests to change the membership of a group.

use crate::member;

/// A single-server membership change; larger changes are made as a series of these.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a member that receives the log without voting.
    AddLearner(member::MemberProfile),
    /// Makes a learner that has caught up a voter.
    Promote(member::MemberId),
    /// Removes a voter or learner.
    Remove(member::MemberId),
}
