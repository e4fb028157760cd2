//! Says which backend servers check fencing numbers.

use galenahold_domain::name;

use crate::description;
use crate::reader;

pub(crate) const SERVER_PREFIX: description::FieldDescription =
    description::FieldDescription::required(
        "server_prefix",
        description::ValueKind::Name,
        "Start of the names of the backend servers that the rule is for; left out, any name.",
    )
    .optional();

pub(crate) const DATA_CENTRE: description::FieldDescription =
    description::FieldDescription::required(
        "data_centre",
        description::ValueKind::Name,
        "The data centre of the backend servers that the rule is for; left out, any.",
    )
    .optional();

const CHECKS_FENCING: description::FieldDescription = description::FieldDescription::required(
    "checks_fencing",
    description::ValueKind::Boolean,
    "Whether these backend servers refuse an order with an old fencing number.",
);

/// Says whether some backend servers check fencing numbers, whatever they announce.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FencingRule {
    /// Start of the names of the backend servers that the rule is for; any name without it.
    pub server_prefix: Option<String>,
    /// The data centre of the backend servers that the rule is for; any without it.
    pub data_centre: Option<name::DataCentreName>,
    /// Whether these backend servers refuse an order with an old fencing number.
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

    /// Tells whether the rule is for this backend server.
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
