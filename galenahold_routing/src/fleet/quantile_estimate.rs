//! A running estimate of a quantile.

/// Minimum step of the estimate, as a share of its value.
const MIN_STEP: f64 = 0.02;

/// Maximum step after the first sample, as a share of the value.
const MAX_STEP: f64 = 0.5;

/// Follows a quantile of positive samples in constant memory.
///
/// Each sample moves the estimate by a bounded step toward it, however far off it is. Engines that are 2.5
/// times slower for 15 % of the time therefore do not raise an estimated median.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuantileEstimate {
    quantile: f64,
    value: Option<f64>,
    samples: u32,
}

impl QuantileEstimate {
    /// An estimate of the median.
    pub(super) const MEDIAN: Self = Self::new(0.5);

    /// An estimate of the lower quartile, for samples to which other delays are added.
    pub(super) const LOWER_QUARTILE: Self = Self::new(0.25);

    const fn new(quantile: f64) -> Self {
        Self {
            quantile,
            value: None,
            samples: 0,
        }
    }

    /// Returns the estimate; `None` before the first sample.
    pub(super) fn value(self) -> Option<f64> {
        self.value
    }

    /// Adds a sample; samples that are not positive are ignored.
    pub(super) fn record(&mut self, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let Some(value) = self.value else {
            self.value = Some(sample);
            return;
        };
        let step = (1.0 / f64::from(self.samples)).clamp(MIN_STEP, MAX_STEP);
        let up = 1.0 + 2.0 * self.quantile * step;
        let down = 1.0 + 2.0 * (1.0 - self.quantile) * step;
        self.value = Some(sample.clamp(value / down, value * up));
    }
}
