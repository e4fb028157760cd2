//! Poisson arrivals with a changing rate.

use rand::RngExt;

/// Draws arrival times by thinning a stream at the peak rate.
#[derive(Debug)]
pub(crate) struct ArrivalClock {
    peak_per_second: f64,
    at_s: f64,
}

impl ArrivalClock {
    /// Starts at time zero with the highest rate that there will be.
    pub(crate) fn new(peak_per_second: f64) -> Self {
        Self {
            peak_per_second,
            at_s: 0.0,
        }
    }

    /// Returns the next arrival before `end_s`, given the rate at each moment.
    pub(crate) fn next(
        &mut self,
        random: &mut impl rand::Rng,
        end_s: f64,
        rate_at: impl Fn(f64) -> f64,
    ) -> Option<f64> {
        if self.peak_per_second <= 0.0 {
            return None;
        }
        loop {
            let draw: f64 = random.random();
            self.at_s -= (1.0 - draw).ln() / self.peak_per_second;
            if self.at_s >= end_s {
                return None;
            }
            let share = rate_at(self.at_s) / self.peak_per_second;
            if random.random::<f64>() < share {
                return Some(self.at_s);
            }
        }
    }
}
