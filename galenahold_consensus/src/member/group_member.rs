//! [`GroupMember`].

use serde::{Deserialize, Serialize};

use crate::member;

/// One line of a membership list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Identity and endpoint.
    pub profile: member::MemberProfile,
    /// Voter or learner.
    pub standing: member::VotingStatus,
}
