//! What came of a charge.

use std::time;

use galenahold_domain::amount;

use crate::rate;

/// What came of a charge.
#[derive(Debug)]
pub enum ChargeOutcome {
    /// The tokens are set aside.
    Charged(rate::ChargeReceipt),
    /// Tokens are missing: call control, and charge again after its reply.
    Ask {
        /// Tokens that are missing for this request and those that wait before it.
        missing: amount::TokenCount,
        /// The wait that control predicted when it was last asked; absent before the first reply.
        retry_after: Option<time::Duration>,
        /// Whether control said that the bucket may hold less than the team is due.
        recovering: bool,
    },
    /// The tokens are more than the team's burst: they can never be given.
    TooLarge {
        /// The team's burst.
        burst: amount::TokenCount,
    },
    /// The intent in force has no such team.
    UnknownTeam,
}
