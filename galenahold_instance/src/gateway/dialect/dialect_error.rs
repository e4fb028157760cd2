//! Why something of the platform could not be read.

use snafu::Snafu;

/// Why something of the platform could not be read, with the field and what was wrong with it.
#[derive(Debug, Snafu)]
#[snafu(display("{message}"))]
pub struct DialectError {
    message: String,
}

impl DialectError {
    /// Creates an error.
    #[must_use]
    pub fn new(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
        }
    }
}
