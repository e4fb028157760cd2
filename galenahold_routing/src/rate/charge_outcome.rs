//! The result of charging a request.

use std::time;

use galenahold_domain::amount;

use crate::rate;

/// The result of charging a request's tokens to its team.
#[derive(Debug)]
pub enum ChargeOutcome {
    /// The tokens are reserved for the request.
    Charged(rate::ChargeReceipt),
    /// Tokens are missing: call the control leader, and charge again after its reply.
    MissingTokens {
        /// Tokens that are missing for this request and for those that wait before it.
        missing: amount::TokenCount,
        /// The wait that the control leader predicted in its last reply; absent before the first reply.
        retry_after: Option<time::Duration>,
        /// Whether the control leader reported that the bucket may hold less than the team is entitled to.
        recovering: bool,
    },
    /// The request needs more tokens than the team's burst, so they can never be granted.
    TooLarge {
        /// The team's burst.
        burst: amount::TokenCount,
    },
    /// The active intent has no such team.
    UnknownTeam,
}
