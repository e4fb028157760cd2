//! What a command that failed prints as JSON.

use serde::Serialize;

use crate::document;

/// What a command that failed prints as JSON.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorAnswer<'a> {
    /// The error.
    pub(crate) error: document::ErrorBody<'a>,
}
