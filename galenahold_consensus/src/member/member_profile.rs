//! Identity and endpoint of a member.

use serde::{Deserialize, Serialize};

use crate::member;

/// The identity of a data folder and the endpoint of the member that runs on it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberProfile {
    /// Identity of the data folder.
    pub id: member::MemberId,
    /// Name and address of the member.
    pub endpoint: member::MemberEndpoint,
}
