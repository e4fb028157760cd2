//! Which addresses others dial.

use std::net;

use crate::description;
use crate::reader;

pub(crate) const PEERS: description::FieldDescription = description::FieldDescription::required(
    "peers",
    description::ValueKind::Address { port_zero: false },
    "The address that other instances dial, where it is not `listen.peers`: behind a proxy or address translation.",
)
.optional();

/// Which addresses others dial, where they are not those that the instance listens on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AdvertiseSettings {
    /// The address that other instances dial.
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
