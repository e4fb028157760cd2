//! A range of token counts.

use serde::{Deserialize, Serialize};

/// A range of token counts, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRange {
    /// The least.
    pub min: u64,
    /// The most.
    pub max: u64,
}
