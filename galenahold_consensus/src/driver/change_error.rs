//! [`ChangeError`].

use snafu::Snafu;

use crate::core;
use crate::driver;

/// Why a membership change has no outcome.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// The change was refused; it is certain not to be committed.
    #[snafu(display("{refusal}"))]
    Refused {
        /// Why.
        refusal: core::ChangeRefusal,
    },
    /// The change has no outcome for the same reasons as a proposal.
    #[snafu(display("changing the membership: {cause}"))]
    Unsettled {
        /// Why.
        cause: driver::ProposeError,
    },
}

impl From<driver::ProposeError> for ChangeError {
    fn from(cause: driver::ProposeError) -> Self {
        Self::Unsettled { cause }
    }
}
