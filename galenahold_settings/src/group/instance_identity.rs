//! The identity of an instance.

use galenahold_domain::name;

use crate::description;
use crate::group;
use crate::reader;

const NAME: description::FieldDescription = description::FieldDescription::required(
    "name",
    description::ValueKind::Name,
    "The instance's name, unique in the cluster; it must not be reused after the instance's data folder is lost.",
);

const DATA_CENTRE: description::FieldDescription = description::FieldDescription::required(
    "data_centre",
    description::ValueKind::Name,
    "The data centre that the instance runs in.",
);

const REGION: description::FieldDescription = description::FieldDescription::required(
    "region",
    description::ValueKind::Name,
    "The region that the data centre is in.",
);

pub(crate) const ROLES: description::FieldDescription = description::FieldDescription::required(
    "roles",
    description::ValueKind::List(&description::ValueKind::Word(group::InstanceRole::WORDS)),
    "The instance's roles: `entry` accepts callers' requests, `control` votes in the control group.",
);

/// The identity of an instance: its name, location and roles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceIdentity {
    /// The instance's name.
    pub name: name::InstanceName,
    /// The data centre that the instance runs in.
    pub data_centre: name::DataCentreName,
    /// The region that the data centre is in.
    pub region: name::RegionName,
    /// The roles of the instance; at least one.
    pub roles: Vec<group::InstanceRole>,
}

impl InstanceIdentity {
    pub(crate) const DESCRIPTION: description::GroupDescription = description::GroupDescription {
        fields: &[NAME, DATA_CENTRE, REGION, ROLES],
    };

    pub(crate) fn from_group(group: &reader::ParsedGroup) -> Option<Self> {
        Some(Self {
            name: group.text(&NAME)?.into(),
            data_centre: group.text(&DATA_CENTRE)?.into(),
            region: group.text(&REGION)?.into(),
            roles: roles_of(group),
        })
    }

    /// Returns whether the instance accepts callers' requests.
    #[must_use]
    pub fn is_entry(&self) -> bool {
        self.roles.contains(&group::InstanceRole::Entry)
    }

    /// Returns whether the instance votes in the control group.
    #[must_use]
    pub fn is_control(&self) -> bool {
        self.roles.contains(&group::InstanceRole::Control)
    }
}

/// Returns the valid roles in the parsed `instance` group.
pub(crate) fn roles_of(group: &reader::ParsedGroup) -> Vec<group::InstanceRole> {
    group
        .list(&ROLES)
        .iter()
        .filter_map(|element| group::InstanceRole::from_word(element.as_text()?))
        .collect()
}

/// Returns the name in the parsed `instance` group, if it is valid.
pub(crate) fn name_of(group: &reader::ParsedGroup) -> Option<&str> {
    group.text(&NAME)
}
