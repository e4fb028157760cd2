//! Operators and their credentials.

use galenahold_domain::name;

use crate::description;
use crate::reader;

pub(crate) const NAME: description::FieldDescription = description::FieldDescription::required(
    "name",
    description::ValueKind::Name,
    "The operator's name, shown to others beside each change that the operator makes.",
);

pub(crate) const CREDENTIAL_SHA256: description::FieldDescription =
    description::FieldDescription::required(
        "credential_sha256",
        description::ValueKind::Digest,
        "SHA-256 of the operator's bearer credential; the credential itself is never stored in a settings file.",
    );

/// An operator who may use the operator HTTP API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// The operator's name.
    pub name: name::OperatorName,
    /// SHA-256 of the bearer credential, in lower-case hexadecimal.
    pub credential_sha256: String,
}

impl OperatorSettings {
    pub(crate) const DESCRIPTION: description::GroupDescription = description::GroupDescription {
        fields: &[NAME, CREDENTIAL_SHA256],
    };

    pub(crate) fn from_group(group: &reader::ParsedGroup) -> Option<Self> {
        Some(Self {
            name: group.text(&NAME)?.into(),
            credential_sha256: group.text(&CREDENTIAL_SHA256)?.to_ascii_lowercase(),
        })
    }
}
