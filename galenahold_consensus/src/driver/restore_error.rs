//! [`RestoreError`].

use std::error;

use snafu::Snafu;

/// Why a state machine could not take in a snapshot.
#[derive(Debug, Snafu)]
#[snafu(display(
    "restoring the state machine from a snapshot: {source}; start a version that knows it"
))]
pub struct RestoreError {
    source: Box<dyn error::Error + Send + Sync>,
}

impl RestoreError {
    /// Wraps the cause.
    #[must_use]
    pub fn new(source: impl Into<Box<dyn error::Error + Send + Sync>>) -> Self {
        Self {
            source: source.into(),
        }
    }
}
