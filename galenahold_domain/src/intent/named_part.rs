//! A part of the intent that has a name.

use crate::intent;

/// A part of the intent that has a name, unique among parts of its sort.
pub(crate) trait NamedPart: Clone + PartialEq {
    /// Returns the name as text.
    fn part_name(&self) -> &str;
}

impl NamedPart for intent::TeamIntent {
    fn part_name(&self) -> &str {
        &self.name
    }
}

impl NamedPart for intent::ModelIntent {
    fn part_name(&self) -> &str {
        &self.name
    }
}

impl NamedPart for intent::ServiceIntent {
    fn part_name(&self) -> &str {
        &self.name
    }
}
