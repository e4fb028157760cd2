//! Access to the names of teams, models and services.

use crate::intent;

/// A part of the intent whose name is unique among the parts of the same kind.
pub(crate) trait NamedPart: Clone + PartialEq {
    /// Returns the part's name.
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
