//! How fast an error budget burnt over a few minutes.

use serde::{Deserialize, Serialize};

/// The burn rate of 5 minutes of the past hours.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryBurn {
    /// The age in buckets of 5 minutes.
    pub age: u64,
    /// The burn rate.
    pub burn_rate: f64,
}
