//! Errors of membership changes.

use snafu::Snafu;

use crate::core;
use crate::driver;

/// An error from proposing a membership change.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// The leader refused the change; it is certainly not committed.
    #[snafu(display("{refusal}"))]
    Refused {
        /// Reason of the refusal.
        refusal: core::ChangeRefusal,
    },
    /// The change failed as a proposal to the log.
    #[snafu(display("changing the membership: {cause}"))]
    Proposal {
        /// Error of the proposal.
        cause: driver::ProposeError,
    },
}

impl From<driver::ProposeError> for ChangeError {
    fn from(cause: driver::ProposeError) -> Self {
        Self::Proposal { cause }
    }
}
