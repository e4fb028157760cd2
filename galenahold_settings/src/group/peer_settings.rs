//! Peers known at start.

use std::net;

use galenahold_domain::name;

use crate::description;
use crate::reader;

pub(crate) const NAME: description::FieldDescription = description::FieldDescription::required(
    "name",
    description::ValueKind::Name,
    "The peer's name.",
);

pub(crate) const ADDRESS: description::FieldDescription = description::FieldDescription::required(
    "address",
    description::ValueKind::Address { port_zero: false },
    "The address to connect to: the peer's `advertise.peers` or, without one, its `listen.peers`.",
);

const DATA_CENTRE: description::FieldDescription = description::FieldDescription::required(
    "data_centre",
    description::ValueKind::Name,
    "The data centre that the peer runs in.",
);

pub(crate) const CONTROL: description::FieldDescription = description::FieldDescription::required(
    "control",
    description::ValueKind::Boolean,
    "Whether the peer has the role `control`.",
);

/// A peer: another instance of the cluster that is known at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// The peer's name.
    pub name: name::InstanceName,
    /// The address to connect to.
    pub address: net::SocketAddr,
    /// The data centre that the peer runs in.
    pub data_centre: name::DataCentreName,
    /// Whether the peer has the role `control`.
    pub control: bool,
}

impl PeerSettings {
    pub(crate) const DESCRIPTION: description::GroupDescription = description::GroupDescription {
        fields: &[NAME, ADDRESS, DATA_CENTRE, CONTROL],
    };

    pub(crate) fn from_group(group: &reader::ParsedGroup) -> Option<Self> {
        Some(Self {
            name: group.text(&NAME)?.into(),
            address: group.address(&ADDRESS)?,
            data_centre: group.text(&DATA_CENTRE)?.into(),
            control: group.boolean(&CONTROL)?,
        })
    }
}
