//! Burn rate history.

use serde::{Deserialize, Serialize};

/// The burn rate of one 5 minute bucket of the past 6 hours.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryBurn {
    /// The age in buckets of 5 minutes; 0 is the current bucket.
    pub age: u64,
    /// The burn rate.
    pub burn_rate: f64,
}
