//! Valid field values with their positions.

use crate::error;
use crate::reader;

/// A valid field value with its position and path.
#[derive(Debug, PartialEq)]
pub(crate) struct ParsedField {
    /// The position of the value or, for a default, of the enclosing object.
    pub(crate) position: error::TextPosition,
    /// The path of the field.
    pub(crate) path: String,
    /// The value.
    pub(crate) value: reader::ParsedValue,
}

impl ParsedField {
    /// Returns the value if it is a text.
    pub(crate) fn as_text(&self) -> Option<&str> {
        match &self.value {
            reader::ParsedValue::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the value if it is a group.
    pub(crate) fn as_group(&self) -> Option<&reader::ParsedGroup> {
        match &self.value {
            reader::ParsedValue::Group(group) => Some(group),
            _ => None,
        }
    }
}
