//! Line and column positions.

use std::fmt;

/// A line and column in a text, counted from 1 as editors do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TextPosition {
    /// The line, starting at 1.
    pub line: usize,
    /// The column in characters, starting at 1.
    pub column: usize,
}

impl TextPosition {
    /// Converts a byte offset to a position.
    pub(crate) fn at(text: &str, offset: usize) -> Self {
        let before = &text[..offset];
        let line = before.matches('\n').count() + 1;
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let column = before[line_start..].chars().count() + 1;
        Self { line, column }
    }
}

impl fmt::Display for TextPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.line, self.column)
    }
}
