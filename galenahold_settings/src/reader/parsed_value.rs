//! Parsed values of settings fields.

use std::net;

use crate::reader;

/// A parsed value that is valid for its field.
#[derive(Debug, PartialEq)]
pub(crate) enum ParsedValue {
    /// A name, a path, a word or a digest.
    Text(String),
    /// `true` or `false`.
    Boolean(bool),
    /// A whole number.
    Number(u64),
    /// An IP address and a port.
    Address(net::SocketAddr),
    /// A list.
    List(Vec<reader::ParsedField>),
    /// An object.
    Group(reader::ParsedGroup),
}
