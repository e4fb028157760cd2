//! Describes one field of the settings.

use crate::description;

/// Describes one field of the settings.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FieldDescription {
    /// The field's name in the file.
    pub(crate) name: &'static str,
    /// What its value may be.
    pub(crate) kind: description::ValueKind,
    /// Whether it has to be there.
    pub(crate) requirement: description::FieldRequirement,
    /// What it is for, in a sentence or two.
    pub(crate) summary: &'static str,
}

impl FieldDescription {
    /// Describes a field that has to be there.
    pub(crate) const fn required(
        name: &'static str,
        kind: description::ValueKind,
        summary: &'static str,
    ) -> Self {
        Self {
            name,
            kind,
            requirement: description::FieldRequirement::Required,
            summary,
        }
    }

    /// Makes the field one that may be left out.
    #[must_use]
    pub(crate) const fn optional(self) -> Self {
        Self {
            requirement: description::FieldRequirement::Optional,
            ..self
        }
    }

    /// Gives the field a default.
    #[must_use]
    pub(crate) const fn default_value(self, value: description::DefaultValue) -> Self {
        Self {
            requirement: description::FieldRequirement::Default(value),
            ..self
        }
    }
}
