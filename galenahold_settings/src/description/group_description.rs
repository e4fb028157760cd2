//! The schema of one JSON object of the settings file.

use crate::description;

/// The schema of a group of fields, which the file holds as a JSON object.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupDescription {
    /// The fields, in the order in which the reference page lists them.
    pub(crate) fields: &'static [description::FieldDescription],
}

impl GroupDescription {
    /// Finds a field by its name.
    pub(crate) fn field(&self, name: &str) -> Option<&'static description::FieldDescription> {
        self.fields.iter().find(|field| field.name == name)
    }
}
