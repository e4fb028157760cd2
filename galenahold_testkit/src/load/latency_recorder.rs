//! A latency distribution while it is recorded.

use std::time;

use hdrhistogram::Histogram;

use super::LatencySummary;

/// The highest latency that is told apart.
const HIGHEST_US: u64 = 600_000_000;
/// Significant decimal digits.
const DIGITS: u8 = 3;

/// Records latencies from a microsecond to ten minutes.
#[derive(Debug)]
pub(crate) struct LatencyRecorder {
    histogram: Option<Histogram<u64>>,
}

impl Default for LatencyRecorder {
    fn default() -> Self {
        Self {
            histogram: Histogram::new_with_bounds(1, HIGHEST_US, DIGITS).ok(),
        }
    }
}

impl LatencyRecorder {
    /// Records one latency.
    pub(crate) fn record(&mut self, latency: time::Duration) {
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(whole_micros(latency).max(1));
        }
    }

    /// Returns the figures.
    pub(crate) fn summary(&self) -> LatencySummary {
        let Some(histogram) = self.histogram.as_ref().filter(|all| !all.is_empty()) else {
            return LatencySummary::default();
        };
        LatencySummary {
            count: histogram.len(),
            mean_us: whole_micros(time::Duration::from_secs_f64(histogram.mean() / 1e6)),
            p50_us: histogram.value_at_quantile(0.5),
            p90_us: histogram.value_at_quantile(0.9),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

/// Returns whole microseconds.
fn whole_micros(latency: time::Duration) -> u64 {
    u64::try_from(latency.as_micros()).unwrap_or(u64::MAX)
}
