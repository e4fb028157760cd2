//! A moving estimate of the service rate in tokens.

use std::time;

use galenahold_domain::amount;

/// Decay time of the average.
const AVERAGING_TIME: time::Duration = time::Duration::from_secs(5);

/// Estimates how fast tokens are served, by an exponentially decaying average.
#[derive(Debug, Default)]
pub struct ServiceRate {
    tokens: f64,
    seconds: f64,
    updated_at: Option<time::Instant>,
}

impl ServiceRate {
    /// Records tokens that were served at `now` while other items waited.
    pub fn record(&mut self, tokens: amount::TokenCount, now: time::Instant) {
        let elapsed = self
            .updated_at
            .map_or(time::Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay = (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.tokens = self.tokens * decay + to_float(tokens);
        self.seconds = self.seconds * decay + elapsed.as_secs_f64();
        self.updated_at = Some(now);
    }

    /// Starts a busy period; the idle time before it is left out of the estimate.
    pub fn resume(&mut self, now: time::Instant) {
        self.updated_at = Some(now);
    }

    /// Returns how long it takes to serve `tokens`, or `None` if too little was served for an estimate.
    #[must_use]
    pub fn time_for(&self, tokens: amount::TokenCount) -> Option<time::Duration> {
        if self.tokens <= 0.0 || self.seconds <= 0.0 {
            return None;
        }
        let seconds = to_float(tokens) * self.seconds / self.tokens;
        time::Duration::try_from_secs_f64(seconds).ok()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "an estimate needs no more than 52 bits"
)]
fn to_float(tokens: amount::TokenCount) -> f64 {
    tokens.0 as f64
}
