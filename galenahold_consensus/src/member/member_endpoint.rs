//! Name and address of a member.

use serde::{Deserialize, Serialize};

use crate::member;

/// Configured name and address of a member, independent of its data folder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberEndpoint {
    /// Name in the settings.
    pub name: member::MemberName,
    /// Address that the transport connects to.
    pub address: member::MemberAddress,
}

impl MemberEndpoint {
    /// Creates an endpoint from a name and an address.
    #[must_use]
    pub fn new(name: &str, address: &str) -> Self {
        Self {
            name: member::MemberName::new(name),
            address: member::MemberAddress::new(address),
        }
    }
}
