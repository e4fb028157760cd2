//! [`MemberEndpoint`].

use serde::{Deserialize, Serialize};

use crate::member;

/// Where a member is reached, whatever folder it runs on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberEndpoint {
    /// Name from the settings.
    pub name: member::MemberName,
    /// Address for the transport.
    pub address: member::MemberAddress,
}

impl MemberEndpoint {
    /// Makes an endpoint from its two texts.
    #[must_use]
    pub fn new(name: &str, address: &str) -> Self {
        Self {
            name: member::MemberName::new(name),
            address: member::MemberAddress::new(address),
        }
    }
}
