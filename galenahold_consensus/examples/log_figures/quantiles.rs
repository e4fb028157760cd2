//! Summary statistics of benchmarks.

use std::time;

/// Quantiles of measured durations.
#[derive(Debug, Clone)]
pub(crate) struct Quantiles {
    times: Vec<time::Duration>,
}

impl Quantiles {
    pub(crate) fn new(mut times: Vec<time::Duration>) -> Self {
        times.sort_unstable();
        Self { times }
    }

    /// Returns a percentile of the durations in milliseconds, by the nearest-rank method.
    pub(crate) fn millis(&self, percent: usize) -> f64 {
        let rank = (self.times.len() * percent).div_ceil(100).max(1) - 1;
        self.times[rank.min(self.times.len() - 1)].as_secs_f64() * 1e3
    }
}
