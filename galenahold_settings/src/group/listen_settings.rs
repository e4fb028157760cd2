//! Listening addresses of an instance.

use std::net;

use crate::description;
use crate::reader;

const ANY_PORT: description::ValueKind = description::ValueKind::Address { port_zero: true };

pub(crate) const CALLERS: description::FieldDescription = description::FieldDescription::required(
    "callers",
    ANY_PORT,
    "Listening address for callers (HTTP); required with the role `entry`.",
)
.optional();

pub(crate) const BACKENDS: description::FieldDescription = description::FieldDescription::required(
    "backends",
    ANY_PORT,
    "Listening address for the announcements and reports of backend servers (HTTP); required with the role `entry`.",
)
.optional();

pub(crate) const OPERATORS: description::FieldDescription =
    description::FieldDescription::required(
        "operators",
        ANY_PORT,
        "Listening address for operators (HTTP); if omitted, the instance serves no operator API.",
    )
    .optional();

pub(crate) const PEERS: description::FieldDescription = description::FieldDescription::required(
    "peers",
    ANY_PORT,
    "Listening address for other instances; port 0 or an unspecified IP address requires `advertise.peers`.",
);

const PLATFORM: description::FieldDescription = description::FieldDescription::required(
    "platform",
    ANY_PORT,
    "Listening address for the platform's requests to `/live`, `/ready` and `/metrics`.",
);

/// Addresses that an instance listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenSettings {
    /// Listening address for callers; present with the role `entry`.
    pub callers: Option<net::SocketAddr>,
    /// Listening address for backend servers; present with the role `entry`.
    pub backends: Option<net::SocketAddr>,
    /// Listening address for operators, if the instance serves the operator API.
    pub operators: Option<net::SocketAddr>,
    /// Listening address for other instances.
    pub peers: net::SocketAddr,
    /// Listening address for health checks and metrics.
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
