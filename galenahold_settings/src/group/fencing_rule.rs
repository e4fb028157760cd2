//! Rules on which backend servers check fencing numbers.

use galenahold_domain::name;

use crate::description;
use crate::reader;

pub(crate) const SERVER_PREFIX: description::FieldDescription =
    description::FieldDescription::required(
        "server_prefix",
        description::ValueKind::Name,
        "Name prefix of the backend servers that the rule applies to; if omitted, any name matches.",
    )
    .optional();

pub(crate) const DATA_CENTRE: description::FieldDescription =
    description::FieldDescription::required(
        "data_centre",
        description::ValueKind::Name,
        "Data centre of the backend servers that the rule applies to; if omitted, any data centre matches.",
    )
    .optional();

const CHECKS_FENCING: description::FieldDescription = description::FieldDescription::required(
    "checks_fencing",
    description::ValueKind::Boolean,
    "Whether these backend servers reject an order with an outdated fencing number.",
);

/// A rule on whether the backend servers that it matches check fencing numbers.
///
/// The rule overrides their announcements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FencingRule {
    /// Name prefix of the backend servers that the rule applies to; `None` matches any name.
    pub server_prefix: Option<String>,
    /// Data centre of the backend servers that the rule applies to; `None` matches any.
    pub data_centre: Option<name::DataCentreName>,
    /// Whether these backend servers reject an order with an outdated fencing number.
    pub checks_fencing: bool,
}

impl FencingRule {
    pub(crate) const DESCRIPTION: description::GroupDescription = description::GroupDescription {
        fields: &[SERVER_PREFIX, DATA_CENTRE, CHECKS_FENCING],
    };

    pub(crate) fn from_group(group: &reader::ParsedGroup) -> Option<Self> {
        Some(Self {
            server_prefix: group.text(&SERVER_PREFIX).map(String::from),
            data_centre: group.text(&DATA_CENTRE).map(name::DataCentreName::from),
            checks_fencing: group.boolean(&CHECKS_FENCING)?,
        })
    }

    /// Returns whether the rule applies to a backend server.
    #[must_use]
    pub fn matches(&self, server: &name::ServerName, data_centre: &name::DataCentreName) -> bool {
        let prefix_matches = self
            .server_prefix
            .as_ref()
            .is_none_or(|prefix| server.starts_with(prefix.as_str()));
        let centre_matches = self
            .data_centre
            .as_ref()
            .is_none_or(|centre| centre == data_centre);
        prefix_matches && centre_matches
    }
}
