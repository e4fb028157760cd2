//! Whether a field has to be in the file.

use crate::description;

/// Whether a field has to be in the file.
#[derive(Debug, Clone, Copy)]
pub(crate) enum FieldRequirement {
    /// The field has to be there.
    Required,
    /// The field may be left out and then has no value.
    Optional,
    /// The field may be left out and then takes a default.
    Default(description::DefaultValue),
}
