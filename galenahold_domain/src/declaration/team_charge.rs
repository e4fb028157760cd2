//! What one call of a team is charged.

use crate::amount;

/// What one call of a team is charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TeamCharge {
    /// Its tokens; calls that state none are charged a fixed count.
    Tokens {
        /// The charge of a call that states no tokens.
        unstated: amount::TokenCount,
    },
    /// One unit a call.
    Calls,
}

impl TeamCharge {
    /// Returns the charge of a call that states `tokens`.
    #[must_use]
    pub fn of(self, tokens: Option<amount::TokenCount>) -> amount::TokenCount {
        match self {
            Self::Tokens { unstated } => tokens.unwrap_or(unstated),
            Self::Calls => amount::TokenCount(1),
        }
    }
}
