//! [`MembershipChange`].

use crate::member;

/// A change of one member, the only step by which a membership moves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a data folder that receives the log without voting.
    AddLearner(member::MemberProfile),
    /// Turns a learner that has caught up into a voter.
    Promote(member::MemberId),
    /// Takes a voter or learner out.
    Remove(member::MemberId),
}
