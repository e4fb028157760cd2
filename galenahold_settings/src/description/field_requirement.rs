//! Required, optional and defaulted fields.

use crate::description;

/// Whether the file has to contain a field.
#[derive(Debug, Clone, Copy)]
pub(crate) enum FieldRequirement {
    /// The file has to contain the field.
    Required,
    /// The file may omit the field, which then has no value.
    Optional,
    /// The file may omit the field, which then takes a default.
    Default(description::DefaultValue),
}
