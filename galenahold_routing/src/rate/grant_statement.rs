//! A holder's report on one grant.

use galenahold_domain::amount;
use serde::{Deserialize, Serialize};

use crate::rate;

/// A holder's report on the tokens of one grant; tokens that are neither spent nor kept are returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantStatement {
    /// The grant.
    pub id: rate::GrantId,
    /// Tokens spent from it so far.
    pub spent: amount::TokenCount,
    /// Tokens that the holder may still spend from it.
    pub kept: amount::TokenCount,
}
