//! Advertised addresses.

use std::net;

use crate::description;
use crate::reader;

pub(crate) const PEERS: description::FieldDescription = description::FieldDescription::required(
    "peers",
    description::ValueKind::Address { port_zero: false },
    "The address that other instances connect to, if it differs from `listen.peers`, as behind a proxy or address translation.",
)
.optional();

/// Addresses that others connect to, if they differ from the listening addresses.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AdvertiseSettings {
    /// The address that other instances connect to.
    pub peers: Option<net::SocketAddr>,
}

impl AdvertiseSettings {
    pub(crate) const DESCRIPTION: description::GroupDescription =
        description::GroupDescription { fields: &[PEERS] };

    pub(crate) fn from_group(group: &reader::ParsedGroup) -> Self {
        Self {
            peers: group.address(&PEERS),
        }
    }
}
