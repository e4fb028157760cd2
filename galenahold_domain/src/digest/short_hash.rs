//! A SHA-256 digest shortened to 128 bits.

use serde::{Deserialize, Serialize};

/// The first 128 bits of a SHA-256 digest, which ledgers store to identify content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct ShortHash(u64, u64);

impl ShortHash {
    /// Creates a hash from its first and its last 64 bits.
    pub(crate) fn new(high: u64, low: u64) -> Self {
        Self(high, low)
    }

    /// Returns the first 64 bits.
    pub(crate) fn high(self) -> u64 {
        self.0
    }
}
