//! A value with the place that it was read from.

use crate::error;
use crate::reader;

/// A value with the place that it was read from.
#[derive(Debug, PartialEq)]
pub(crate) struct ParsedField {
    /// Where the value stands or, for a default, where its object does.
    pub(crate) position: error::TextPosition,
    /// The field's path.
    pub(crate) path: String,
    /// The value.
    pub(crate) value: reader::ParsedValue,
}

impl ParsedField {
    /// Returns the value as text.
    pub(crate) fn as_text(&self) -> Option<&str> {
        match &self.value {
            reader::ParsedValue::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the value as a group.
    pub(crate) fn as_group(&self) -> Option<&reader::ParsedGroup> {
        match &self.value {
            reader::ParsedValue::Group(group) => Some(group),
            _ => None,
        }
    }
}
