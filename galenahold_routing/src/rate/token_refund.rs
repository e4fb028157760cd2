//! The return of tokens that were already stated as spent.

use galenahold_domain::amount;
use serde::{Deserialize, Serialize};

use crate::rate;

/// Tokens of a settled request that were stated as spent although the request did not use them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRefund {
    /// Increases with each refund of the holder, so that duplicates are detected.
    pub sequence: u64,
    /// The grant that the tokens came from.
    pub grant: rate::GrantId,
    /// The number of the call that first stated them as spent.
    pub stated_in: u64,
    /// The returned tokens.
    pub tokens: amount::TokenCount,
}
