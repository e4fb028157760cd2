//! A value with the place that it was read from.

use crate::error;
use crate::reader;

/// A value with the place that it was read from.
#[derive(Debug, PartialEq)]
pub(crate) struct ReadField {
    /// Where the value stands or, for a default, where its object does.
    pub(crate) position: error::TextPosition,
    /// The field's path.
    pub(crate) path: String,
    /// The value.
    pub(crate) value: reader::ReadValue,
}

impl ReadField {
    /// Returns the value as text.
    pub(crate) fn as_text(&self) -> Option<&str> {
        match &self.value {
            reader::ReadValue::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the value as a group.
    pub(crate) fn as_group(&self) -> Option<&reader::ReadGroup> {
        match &self.value {
            reader::ReadValue::Group(group) => Some(group),
            _ => None,
        }
    }
}
