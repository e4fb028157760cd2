//! The expected length of answers on a route.

/// The share of earlier answers that is forgotten with each answer, so that about the last fifty count.
const FORGOTTEN_SHARE: f64 = 0.02;

/// The tokens for which hints are taken as right before answers have been seen.
const PRIOR_TOKENS: f64 = 500.0;

/// Largest factor by which hints are corrected, in either direction.
const MAX_CORRECTION: f64 = 8.0;

/// Estimates the tokens of an answer from its caller's hint and the earlier answers on the route.
///
/// Workload: callers state an expected length that is right at the median and often far off, or none.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutputEstimator {
    hinted_tokens: f64,
    hinted_observed: f64,
    mean_unhinted: Option<f64>,
}

impl OutputEstimator {
    /// Returns the expected tokens of an answer of at most `max` tokens.
    #[must_use]
    pub fn expected(&self, hint: Option<u64>, max: u64) -> u64 {
        let Some(hint) = hint else {
            return self.mean_unhinted.map_or(max, tokens).min(max);
        };
        let observed = self.hinted_observed + PRIOR_TOKENS;
        let ratio = observed / (self.hinted_tokens + PRIOR_TOKENS);
        let corrected = float(hint) * ratio.clamp(1.0 / MAX_CORRECTION, MAX_CORRECTION);
        tokens(corrected).min(max)
    }

    /// Learns from a complete answer.
    pub fn record(&mut self, hint: Option<u64>, observed: u64) {
        let observed = float(observed);
        if let Some(hint) = hint {
            self.hinted_tokens = self.hinted_tokens * (1.0 - FORGOTTEN_SHARE) + float(hint);
            self.hinted_observed = self.hinted_observed * (1.0 - FORGOTTEN_SHARE) + observed;
        } else {
            let known = self.mean_unhinted.unwrap_or(observed);
            self.mean_unhinted = Some(known + (observed - known) * FORGOTTEN_SHARE.sqrt());
        }
    }
}

fn float(tokens: u64) -> f64 {
    f64::from(u32::try_from(tokens).unwrap_or(u32::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, and token counts are not negative"
)]
fn tokens(count: f64) -> u64 {
    count.round() as u64
}
