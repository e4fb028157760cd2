//! What the value of a field may be.

use std::fmt;

use crate::description;

/// What the value of a field may be.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ValueKind {
    /// A name: letters, digits, `-`, `_` and `.`.
    Name,
    /// A path of the file system.
    Path,
    /// `true` or `false`.
    Boolean,
    /// A whole number.
    Number {
        /// What the number counts.
        unit: description::NumberUnit,
        /// The least number allowed.
        min: u64,
        /// The greatest number allowed.
        max: u64,
    },
    /// An IP address and a port.
    Address {
        /// Whether port 0, which lets the system choose a free port, is allowed.
        port_zero: bool,
    },
    /// One of a few words.
    Word(&'static [&'static str]),
    /// A SHA-256 digest in hexadecimal.
    Digest,
    /// A list without repeats.
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
                "\"IP:PORT\" by numbers, such as \"10.0.0.1:7100\"; port 0 takes any free port",
            ),
            Self::Address { port_zero: false } => {
                formatter.write_str("\"IP:PORT\" by numbers, such as \"10.0.0.1:7100\", not port 0")
            }
            Self::Word(words) => write!(formatter, "one of {}", QuotedWords(words)),
            Self::Digest => formatter.write_str("a SHA-256 digest of 64 hexadecimal digits"),
            Self::List(kind) => write!(formatter, "a list without repeats; each element is {kind}"),
            Self::Group(group) => {
                let names: Vec<_> = group.fields.iter().map(|field| field.name).collect();
                write!(formatter, "an object of {}", QuotedWords(&names))
            }
        }
    }
}

/// Words in quotes, parted by commas.
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
