//! The first 128 bits of a SHA-256 digest.

use serde::{Deserialize, Serialize};

/// The first 128 bits of a SHA-256 digest, which stand for content in ledgers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct ShortHash(u64, u64);

impl ShortHash {
    /// Makes the hash of its two halves.
    pub(crate) fn new(high: u64, low: u64) -> Self {
        Self(high, low)
    }

    /// Returns the first 64 bits.
    pub(crate) fn high(self) -> u64 {
        self.0
    }
}
