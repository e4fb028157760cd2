//! The usual figures of a latency distribution.

use serde::{Deserialize, Serialize};

/// Figures of a distribution in microseconds; all zero without values.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// The values.
    pub count: u64,
    /// The mean.
    pub mean_us: u64,
    /// The median.
    pub p50_us: u64,
    /// The 90th percentile.
    pub p90_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The 99.9th percentile.
    pub p999_us: u64,
    /// The highest.
    pub max_us: u64,
}
