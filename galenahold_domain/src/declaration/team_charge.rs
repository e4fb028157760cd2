//! The unit in which a team's calls count against its rate limit.

use crate::amount;

/// The amount that a call of a team counts against the team's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TeamCharge {
    /// The tokens that the call states, or a fixed number if it states none.
    Tokens {
        /// The charge of a call that states no number of tokens.
        unstated: amount::TokenCount,
    },
    /// One unit per call.
    Calls,
}

impl TeamCharge {
    /// Returns the charge of a call that states this number of tokens.
    #[must_use]
    pub fn of(self, tokens: Option<amount::TokenCount>) -> amount::TokenCount {
        match self {
            Self::Tokens { unstated } => tokens.unwrap_or(unstated),
            Self::Calls => amount::TokenCount(1),
        }
    }
}
