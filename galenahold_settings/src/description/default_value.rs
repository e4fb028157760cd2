//! Default values of optional settings fields.

use std::fmt;

/// The value that a field takes when the file omits it.
#[derive(Debug, Clone, Copy)]
pub(crate) enum DefaultValue {
    /// A whole number.
    Number(u64),
    /// One of the field's allowed words.
    Word(&'static str),
    /// An empty list.
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
