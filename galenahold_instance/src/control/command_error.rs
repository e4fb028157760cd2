//! Why a command has no outcome.

use galenahold_consensus::driver;
use snafu::Snafu;

/// Why a command has no outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum CommandError {
    /// It is certain not to be committed.
    #[snafu(display("the command was not committed"))]
    NotCommitted,
    /// It may have been committed, or may still be.
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
