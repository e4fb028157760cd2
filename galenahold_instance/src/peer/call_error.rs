//! Why a call to another instance failed.

use snafu::Snafu;

/// Why a call to another instance failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum CallError {
    /// The other instance never got the call, or said that it did nothing.
    #[snafu(display("the call was not done"))]
    NotExecuted,
    /// The call may have been done; its answer is lost.
    #[snafu(display("the call's outcome is unknown"))]
    Unknown,
}
