//! Estimates how fast tokens are served.

use std::time;

use galenahold_domain::amount;

const AVERAGING_TIME: time::Duration = time::Duration::from_secs(5);

/// Estimates how fast tokens are served, from those that were served of late.
#[derive(Debug, Default)]
pub struct ServiceRate {
    tokens: f64,
    seconds: f64,
    updated_at: Option<time::Instant>,
}

impl ServiceRate {
    /// Counts tokens that were served at a time while others waited.
    pub fn record(&mut self, tokens: amount::TokenCount, now: time::Instant) {
        let elapsed = self
            .updated_at
            .map_or(time::Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay = (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.tokens = self.tokens * decay + to_float(tokens);
        self.seconds = self.seconds * decay + elapsed.as_secs_f64();
        self.updated_at = Some(now);
    }

    /// Starts a busy period: the time since the last one does not count.
    pub fn resume(&mut self, now: time::Instant) {
        self.updated_at = Some(now);
    }

    /// Returns how long tokens take, or nothing where too little was served to tell.
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
