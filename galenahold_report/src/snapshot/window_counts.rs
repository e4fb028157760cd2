//! Counts of one window.

use serde::{Deserialize, Serialize};

use crate::count;

/// The counts over one window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: count::BurnWindow,
    /// The counts in the window.
    pub counts: count::ObjectiveCounts,
}
