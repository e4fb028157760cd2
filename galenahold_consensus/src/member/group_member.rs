//! Entry of a membership list.

use serde::{Deserialize, Serialize};

use crate::member;

/// A member of a group with its voting status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Identity and endpoint of the member.
    pub profile: member::MemberProfile,
    /// Whether the member is a voter or a learner.
    pub standing: member::VotingStatus,
}
