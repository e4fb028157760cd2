//! A token rate and the tokens that accrue from it.

use std::time;

use serde::{Deserialize, Serialize};

use crate::amount;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// A rate in tokens per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokensPerSecond(pub u64);

impl TokensPerSecond {
    /// Returns the number of tokens that accrue in `elapsed`, rounded down.
    #[must_use]
    pub fn tokens_in(self, elapsed: time::Duration) -> amount::TokenCount {
        let tokens = u128::from(self.0) * elapsed.as_nanos() / NANOS_PER_SECOND;
        amount::TokenCount(u64::try_from(tokens).unwrap_or(u64::MAX))
    }
}
