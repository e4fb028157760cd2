//! Errors of restoring a state machine.

use std::error;

use snafu::Snafu;

/// An error from restoring a state machine from a snapshot.
#[derive(Debug, Snafu)]
#[snafu(display(
    "restoring the state machine from a snapshot: {source}; start a version that can read it"
))]
pub struct RestoreError {
    source: Box<dyn error::Error + Send + Sync>,
}

impl RestoreError {
    /// Wraps the error of a state machine.
    #[must_use]
    pub fn new(source: impl Into<Box<dyn error::Error + Send + Sync>>) -> Self {
        Self {
            source: source.into(),
        }
    }
}
