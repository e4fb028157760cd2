//! Kinds of field values.

use std::fmt;

use crate::description;

/// The kind of value that a field accepts; its text form describes the allowed values in messages.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ValueKind {
    /// A name: letters, digits, `-`, `_` and `.`.
    Name,
    /// A file system path.
    Path,
    /// `true` or `false`.
    Boolean,
    /// A whole number.
    Number {
        /// The unit of the number.
        unit: description::NumberUnit,
        /// The minimum, inclusive.
        min: u64,
        /// The maximum, inclusive.
        max: u64,
    },
    /// An IP address and a port.
    Address {
        /// Whether port 0 is allowed, with which the operating system chooses a free port.
        port_zero: bool,
    },
    /// One of a fixed set of words.
    Word(&'static [&'static str]),
    /// A SHA-256 digest in hexadecimal.
    Digest,
    /// A list without duplicates.
    List(&'static ValueKind),
    /// An object.
    Group(&'static description::GroupDescription),
}

impl fmt::Display for ValueKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name => {
                formatter.write_str("a name of 1 to 63 letters, digits, \"-\", \"_\" or \".\"")
            }
            Self::Path => formatter.write_str("a path in quotes"),
            Self::Boolean => formatter.write_str("true or false"),
            Self::Number { unit, min, max } => {
                write!(formatter, "a whole number from {min} to {max} ({unit})")
            }
            Self::Address { port_zero: true } => formatter.write_str(
                "\"IP:PORT\" with a numeric IP address, such as \"10.0.0.1:7100\"; port 0 takes any free port",
            ),
            Self::Address { port_zero: false } => {
                formatter.write_str("\"IP:PORT\" with a numeric IP address, such as \"10.0.0.1:7100\", not port 0")
            }
            Self::Word(words) => write!(formatter, "one of {}", QuotedWords(words)),
            Self::Digest => formatter.write_str("a SHA-256 digest of 64 hexadecimal digits"),
            Self::List(kind) => write!(formatter, "a list without duplicates; each element is {kind}"),
            Self::Group(group) => {
                let names: Vec<_> = group.fields.iter().map(|field| field.name).collect();
                write!(formatter, "an object of {}", QuotedWords(&names))
            }
        }
    }
}

/// Formats words in quotes, separated by commas.
struct QuotedWords<'a>(&'a [&'a str]);

impl fmt::Display for QuotedWords<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, word) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str(", ")?;
            }
            write!(formatter, "\"{word}\"")?;
        }
        Ok(())
    }
}
