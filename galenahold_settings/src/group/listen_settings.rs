//! Where an instance listens.

use std::net;

use crate::description;
use crate::reader;

const ANY_PORT: description::ValueKind = description::ValueKind::Address { port_zero: true };

pub(crate) const CALLERS: description::FieldDescription = description::FieldDescription::required(
    "callers",
    ANY_PORT,
    "Where callers connect over HTTP; required with the role `entry`.",
)
.optional();

pub(crate) const BACKENDS: description::FieldDescription = description::FieldDescription::required(
    "backends",
    ANY_PORT,
    "Where backend servers announce themselves and report over HTTP; required with the role `entry`.",
)
.optional();

pub(crate) const OPERATORS: description::FieldDescription =
    description::FieldDescription::required(
        "operators",
        ANY_PORT,
        "Where operators connect over HTTP; left out, the instance has no operators' face.",
    )
    .optional();

pub(crate) const PEERS: description::FieldDescription = description::FieldDescription::required(
    "peers",
    ANY_PORT,
    "Where other instances connect; port 0 or an unspecified IP needs `advertise.peers`.",
);

const PLATFORM: description::FieldDescription = description::FieldDescription::required(
    "platform",
    ANY_PORT,
    "Where the platform reads `/live`, `/ready` and `/metrics`.",
);

/// Where an instance listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenSettings {
    /// Where callers connect; there with the role entry.
    pub callers: Option<net::SocketAddr>,
    /// Where backend servers connect; there with the role entry.
    pub backends: Option<net::SocketAddr>,
    /// Where operators connect, if the instance has an operators' face.
    pub operators: Option<net::SocketAddr>,
    /// Where other instances connect.
    pub peers: net::SocketAddr,
    /// Where the platform reads health and metrics.
    pub platform: net::SocketAddr,
}

impl ListenSettings {
    pub(crate) const DESCRIPTION: description::GroupDescription = description::GroupDescription {
        fields: &[CALLERS, BACKENDS, OPERATORS, PEERS, PLATFORM],
    };

    pub(crate) fn from_group(group: &reader::ParsedGroup) -> Option<Self> {
        Some(Self {
            callers: group.address(&CALLERS),
            backends: group.address(&BACKENDS),
            operators: group.address(&OPERATORS),
            peers: group.address(&PEERS)?,
            platform: group.address(&PLATFORM)?,
        })
    }
}
