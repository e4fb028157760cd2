//! Quantiles of measured times.

use std::time;

/// Measured times, sorted.
#[derive(Debug, Clone)]
pub(crate) struct Quantiles {
    times: Vec<time::Duration>,
}

impl Quantiles {
    pub(crate) fn new(mut times: Vec<time::Duration>) -> Self {
        times.sort_unstable();
        Self { times }
    }

    /// Returns the time that the share, in hundredths, of the times don't exceed; in milliseconds.
    pub(crate) fn millis(&self, percent: usize) -> f64 {
        let rank = (self.times.len() * percent).div_ceil(100).max(1) - 1;
        self.times[rank.min(self.times.len() - 1)].as_secs_f64() * 1e3
    }
}
