//! How often one order ran.

use serde::{Deserialize, Serialize};

/// Counts the runs of one order at a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCount {
    /// The order's own name, from its body or its idempotency key.
    pub order: String,
    /// The runs so far.
    pub runs: u64,
}
