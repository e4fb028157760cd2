//! Buckets of the recent history.

use serde::{Deserialize, Serialize};

use crate::count;

/// The counts of one bucket of the past 6 hours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryBucket {
    /// The age in buckets of 5 minutes; 0 is the current bucket.
    pub age: u64,
    /// The counts in the bucket.
    pub counts: count::ObjectiveCounts,
}

impl HistoryBucket {
    /// The window whose buckets form the history.
    pub(crate) const WINDOW: count::BurnWindow = count::BurnWindow::SixHours;
}
