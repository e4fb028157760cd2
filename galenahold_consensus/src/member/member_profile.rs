//! [`MemberProfile`].

use serde::{Deserialize, Serialize};

use crate::member;

/// A data folder's identity together with where it is reached.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberProfile {
    /// Identity of the data folder.
    pub id: member::MemberId,
    /// Name and address.
    pub endpoint: member::MemberEndpoint,
}
