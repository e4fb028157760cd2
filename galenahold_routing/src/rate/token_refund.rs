//! Tokens that were spent and then found not to be needed.

use galenahold_domain::amount;
use serde::{Deserialize, Serialize};

use crate::rate;

/// Tokens of a settled request that were stated as spent and turned out not to be needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRefund {
    /// Grows with each refund of the holder, so that a repeat is known.
    pub sequence: u64,
    /// The grant that the tokens came from.
    pub grant: rate::GrantId,
    /// The number of the call that first stated them as spent.
    pub stated_in: u64,
    /// The tokens that come back.
    pub tokens: amount::TokenCount,
}
