//! The counts of one bucket of the past hours.

use serde::{Deserialize, Serialize};

use crate::count;

/// The counts of one bucket of the past 6 hours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryBucket {
    /// Its age in buckets of 5 minutes; 0 is the one that is being filled.
    pub age: u64,
    /// The counts.
    pub counts: count::ObjectiveCounts,
}

impl HistoryBucket {
    /// The window whose buckets make the history.
    pub(crate) const WINDOW: count::BurnWindow = count::BurnWindow::SixHours;
}
