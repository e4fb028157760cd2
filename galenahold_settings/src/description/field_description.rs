//! The schema of one settings field.

use crate::description;

/// The schema of one settings field: its name, value kind, requirement and summary.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FieldDescription {
    /// The field's name in the file.
    pub(crate) name: &'static str,
    /// The kind of value that the field accepts.
    pub(crate) kind: description::ValueKind,
    /// Whether the file has to contain the field.
    pub(crate) requirement: description::FieldRequirement,
    /// The purpose of the field in a sentence or two, as printed in the reference page.
    pub(crate) summary: &'static str,
}

impl FieldDescription {
    /// Creates the description of a required field.
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

    /// Makes the field optional, without a default.
    #[must_use]
    pub(crate) const fn optional(self) -> Self {
        Self {
            requirement: description::FieldRequirement::Optional,
            ..self
        }
    }

    /// Makes the field optional, with a default.
    #[must_use]
    pub(crate) const fn default_value(self, value: description::DefaultValue) -> Self {
        Self {
            requirement: description::FieldRequirement::Default(value),
            ..self
        }
    }
}
