//! The error of a call to another instance.

use snafu::Snafu;

/// The reason why a call to another instance failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum CallError {
    /// The other instance never received the call, or replied that it did nothing.
    #[snafu(display("the call was not executed"))]
    NotExecuted,
    /// The call may have been executed, but its reply is lost.
    #[snafu(display("the outcome of the call is unknown"))]
    Unknown,
}
