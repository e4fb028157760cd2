//! Messages between instances before they belong to the same group.

use serde::{Deserialize, Serialize};

use crate::member;

/// Bootstrap messages, by which instances create or join a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BootstrapBody {
    /// Announces the identity of a data folder that belongs to no group.
    Greeting(member::MemberProfile),
    /// Sent by a member: the receiving data folder belongs to the group and can join it.
    Welcome {
        /// Identity of the group.
        cluster: member::ClusterId,
        /// First membership of the group.
        genesis: member::MembershipList,
        /// Data folder that belongs to the group.
        guest: member::MemberId,
    },
    /// Sent by a member: a group exists, and the receiving data folder does not belong to it.
    Founded {
        /// Identity of the group.
        cluster: member::ClusterId,
    },
}
