//! [`ProposeError`].

use snafu::Snafu;

use crate::driver;
use crate::member;

/// Why a proposal has no outcome.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProposeError {
    /// This member does not lead.
    #[snafu(display("proposing a command: this member does not lead, ask the leader"))]
    NotLeader {
        /// The leader, where it is known.
        hint: Option<member::MemberProfile>,
    },
    /// Too many proposals are under way, or leadership is being handed over.
    #[snafu(display("proposing a command: the log is busy, try again later"))]
    Busy,
    /// The command is longer than the log takes.
    #[snafu(display("proposing a command: it is too long, split it"))]
    TooLong,
    /// The command may have been committed, or may still be.
    #[snafu(display("proposing a command: it may have been committed, look at the state"))]
    OutcomeUnknown,
    /// The log has stopped.
    #[snafu(display("proposing a command: the log has stopped, ask another member"))]
    Stopped,
    /// The data folder has failed.
    #[snafu(display("proposing a command: the data folder has failed, ask another member"))]
    Storage,
}

impl ProposeError {
    /// Returns what to think of the error.
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
