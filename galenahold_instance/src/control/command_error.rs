//! The error of committing a command.

use galenahold_consensus::driver;
use snafu::Snafu;

/// The reason why a command has no known outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum CommandError {
    /// The command is certain not to be committed.
    #[snafu(display("the command was not committed"))]
    NotCommitted,
    /// The command may have been committed, or may still be.
    #[snafu(display("the command may have been committed"))]
    Unknown,
}

impl From<driver::ProposeError> for CommandError {
    fn from(error: driver::ProposeError) -> Self {
        if error.kind().may_have_committed() {
            Self::Unknown
        } else {
            Self::NotCommitted
        }
    }
}
