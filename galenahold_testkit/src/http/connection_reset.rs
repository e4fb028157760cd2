//! The outcome of a handler that wants its connection reset.

use std::error;
use std::fmt;

/// Asks the server to reset the connection in place of an answer.
#[derive(Debug)]
pub(crate) struct ConnectionReset;

impl fmt::Display for ConnectionReset {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("connection reset on purpose")
    }
}

impl error::Error for ConnectionReset {}
