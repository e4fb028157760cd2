//! The difference between two ways to the same servers.

use super::LatencySummary;

/// Differences of percentiles in microseconds; negative where the longer way was quicker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AddedLatency {
    /// At the median.
    pub p50_us: i64,
    /// At the 90th percentile.
    pub p90_us: i64,
    /// At the 99th percentile.
    pub p99_us: i64,
}

impl AddedLatency {
    /// Subtracts the figures of the direct way.
    pub(crate) fn between(through: &LatencySummary, straight: &LatencySummary) -> Self {
        Self {
            p50_us: difference(through.p50_us, straight.p50_us),
            p90_us: difference(through.p90_us, straight.p90_us),
            p99_us: difference(through.p99_us, straight.p99_us),
        }
    }
}

fn difference(left: u64, right: u64) -> i64 {
    let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    signed(left) - signed(right)
}
