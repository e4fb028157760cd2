//! Histogram of the idle gaps between requests for a model or adapter.

use std::time;

const BINS: usize = 48;
const BINS_PER_DOUBLING: f64 = 3.0;
/// Shortest gap that is recorded.
const MIN_GAP: time::Duration = time::Duration::from_secs(1);
/// Number of gaps above which all counts are halved.
const MAX_COUNT: u32 = 4_096;

/// Histogram of the idle gaps between requests for one model or adapter; each bin is about a
/// quarter wider than the one before.
///
/// A gap lasts from the end of the last request to the arrival of the next one. Gaps shorter than a
/// second are ignored, since no policy unloads that quickly.
#[derive(Debug, Clone)]
pub struct ArrivalHistory {
    bins: [u32; BINS],
    total: u32,
}

impl ArrivalHistory {
    /// Records a gap. Halves all counts when their total exceeds the maximum, so that old gaps lose
    /// weight.
    pub fn record(&mut self, gap: time::Duration) {
        if gap < MIN_GAP {
            return;
        }
        self.bins[bin_of(gap)] += 1;
        self.total += 1;
        if self.total > MAX_COUNT {
            self.halve();
        }
    }

    /// Returns the number of recorded gaps, reduced by each halving.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Returns the probability that a gap that has lasted for `idle` ends within the next
    /// `horizon`.
    #[must_use]
    pub fn return_probability(&self, idle: time::Duration, horizon: time::Duration) -> f64 {
        let (from, to) = (bin_of(idle), bin_of(idle + horizon));
        let lasting: u32 = self.bins[from..].iter().sum();
        let ending: u32 = self.bins[from..=to].iter().sum();
        if lasting == 0 {
            return 0.0;
        }
        f64::from(ending) / f64::from(lasting)
    }

    /// Returns the upper bound and the share of all gaps for each bin that is not empty.
    pub fn shares(&self) -> impl Iterator<Item = GapShare> {
        let total = f64::from(self.total.max(1));
        let occupied = self
            .bins
            .iter()
            .enumerate()
            .filter(|(_, count)| **count > 0);
        occupied.map(move |(bin, count)| GapShare {
            upper_bound: upper_edge(bin),
            share: f64::from(*count) / total,
        })
    }

    fn halve(&mut self) {
        for count in &mut self.bins {
            *count /= 2;
        }
        self.total = self.bins.iter().sum();
    }
}

/// Share of the recorded gaps that falls into one bin.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GapShare {
    /// The longest gap that the bin covers.
    pub upper_bound: time::Duration,
    /// The bin's share of all gaps.
    pub share: f64,
}

impl Default for ArrivalHistory {
    fn default() -> Self {
        Self {
            bins: [0; BINS],
            total: 0,
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is between zero and the number of bins"
)]
fn bin_of(gap: time::Duration) -> usize {
    let ratio = gap.as_secs_f64() / MIN_GAP.as_secs_f64();
    let bin = ratio.max(1.0).log2() * BINS_PER_DOUBLING;
    (bin as usize).min(BINS - 1)
}

#[expect(clippy::cast_precision_loss, reason = "the number of bins is small")]
fn upper_edge(bin: usize) -> time::Duration {
    MIN_GAP.mul_f64((((bin + 1) as f64) / BINS_PER_DOUBLING).exp2())
}
