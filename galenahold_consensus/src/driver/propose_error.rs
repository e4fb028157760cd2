//! Errors of proposals.

use snafu::Snafu;

use crate::driver;
use crate::member;

/// An error from proposing a command.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProposeError {
    /// This member is not the leader.
    #[snafu(display("proposing a command: this member does not lead, ask the leader"))]
    NotLeader {
        /// Current leader, if known.
        hint: Option<member::MemberProfile>,
    },
    /// Too many proposals are pending, or a leadership transfer is in progress.
    #[snafu(display("proposing a command: the log is busy, try again later"))]
    Busy,
    /// The command exceeds the maximum size.
    #[snafu(display("proposing a command: the command exceeds the maximum size, split it"))]
    TooLong,
    /// The command may have been committed, or may still be committed later.
    #[snafu(display(
        "proposing a command: the outcome is unknown, read the state before trying again"
    ))]
    OutcomeUnknown,
    /// The log has stopped.
    #[snafu(display("proposing a command: the log has stopped, ask another member"))]
    Stopped,
    /// The member has failed for good, usually because of its data folder.
    #[snafu(display("proposing a command: the data folder has failed, ask another member"))]
    Storage,
}

impl ProposeError {
    /// Returns the category of the error.
    #[must_use]
    pub fn kind(&self) -> driver::ProposeErrorKind {
        match self {
            Self::NotLeader { .. } => driver::ProposeErrorKind::NotLeader,
            Self::Busy => driver::ProposeErrorKind::Busy,
            Self::TooLong => driver::ProposeErrorKind::TooLong,
            Self::OutcomeUnknown => driver::ProposeErrorKind::OutcomeUnknown,
            Self::Stopped => driver::ProposeErrorKind::Stopped,
            Self::Storage => driver::ProposeErrorKind::Storage,
        }
    }
}
