//! Actions that the bootstrap requests from its driver.

use crate::member;

/// Next action of a member whose data folder belongs to no group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BootstrapStep {
    /// Create a group with these voters: generate its identity and join it durably.
    Create(member::MembershipList),
    /// Join an existing group durably.
    Join {
        /// Identity of the group.
        cluster: member::ClusterId,
        /// First membership of the group.
        genesis: member::MembershipList,
    },
}
