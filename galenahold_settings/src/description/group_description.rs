//! Describes a group of fields, which is an object in the file.

use crate::description;

/// Describes a group of fields, which is an object in the file.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupDescription {
    /// The fields in the order of the reference page.
    pub(crate) fields: &'static [description::FieldDescription],
}

impl GroupDescription {
    /// Finds a field by its name.
    pub(crate) fn field(&self, name: &str) -> Option<&'static description::FieldDescription> {
        self.fields.iter().find(|field| field.name == name)
    }
}
