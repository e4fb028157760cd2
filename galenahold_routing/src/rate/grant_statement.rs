//! What a holder states of one grant.

use galenahold_domain::amount;
use serde::{Deserialize, Serialize};

use crate::rate;

/// What a holder states of one grant. What is neither spent nor kept is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantStatement {
    /// The grant.
    pub id: rate::GrantId,
    /// Tokens spent from it so far.
    pub spent: amount::TokenCount,
    /// Tokens that the holder may still spend from it.
    pub kept: amount::TokenCount,
}
