//! [`BootstrapStep`].

use crate::member;

/// What a data folder without a group must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BootstrapStep {
    /// Found a group with these voters: draw its identity and join it durably.
    Create(member::MembershipList),
    /// Join a group durably.
    Join {
        /// The group.
        cluster: member::ClusterId,
        /// Its first membership.
        genesis: member::MembershipList,
    },
}
