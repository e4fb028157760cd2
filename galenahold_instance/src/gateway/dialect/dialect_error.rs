//! Errors of reading a platform's messages.

use snafu::Snafu;

/// A message of the platform could not be read; names the field and what is wrong with it.
#[derive(Debug, Snafu)]
#[snafu(display("{message}"))]
pub struct DialectError {
    message: String,
}

impl DialectError {
    /// Creates an error with the given message.
    #[must_use]
    pub fn new(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
        }
    }
}
