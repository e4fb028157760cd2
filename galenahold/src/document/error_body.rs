//! The kind, message and exit status of an error.

use serde::Serialize;

/// The kind, message and exit status of an error.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody<'a> {
    /// The kind.
    pub(crate) kind: &'a str,
    /// What was attempted, on what, and what to do.
    pub(crate) message: String,
    /// The status that the process exits with.
    pub(crate) exit: u8,
}
