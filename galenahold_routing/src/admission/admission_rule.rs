//! Decides whether a request is taken.

use std::time;

use crate::admission;

const DEFAULT_MARGIN_PERCENT: u32 = 100;
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Decides whether a request is taken, by its predicted wait against the time that it has left.
#[derive(Debug, Clone)]
pub struct AdmissionRule {
    margin_percent: u32,
}

impl AdmissionRule {
    /// Returns a rule that refuses when the predicted wait exceeds so many percent of the time left.
    #[must_use]
    pub fn new(margin_percent: u32) -> Self {
        Self { margin_percent }
    }

    /// Decides on a request that has `time_left` until its deadline.
    #[must_use]
    pub fn decide(
        &self,
        wait: &admission::PredictedWait,
        time_left: time::Duration,
    ) -> admission::AdmissionDecision {
        let total = wait.total();
        let bound = time_left.saturating_mul(self.margin_percent) / 100;
        if total <= bound {
            return admission::AdmissionDecision::Admit;
        }
        let retry_after = total.saturating_sub(bound).max(MIN_RETRY_AFTER);
        admission::AdmissionDecision::Refuse { retry_after }
    }
}

impl Default for AdmissionRule {
    fn default() -> Self {
        Self::new(DEFAULT_MARGIN_PERCENT)
    }
}
