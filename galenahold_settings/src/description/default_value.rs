//! The value that a field takes where the file leaves it out.

use std::fmt;

/// The value that a field takes where the file leaves it out.
#[derive(Debug, Clone, Copy)]
pub(crate) enum DefaultValue {
    /// A whole number.
    Number(u64),
    /// One of the field's words.
    Word(&'static str),
    /// A list without elements.
    EmptyList,
    /// A group whose fields all take their defaults.
    EmptyGroup,
}

impl fmt::Display for DefaultValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number(number) => write!(formatter, "{number}"),
            Self::Word(word) => write!(formatter, "\"{word}\""),
            Self::EmptyList => formatter.write_str("[]"),
            Self::EmptyGroup => formatter.write_str("{}"),
        }
    }
}
