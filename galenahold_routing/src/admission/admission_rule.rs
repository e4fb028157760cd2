//! Compares the predicted wait of a request with the time until its deadline.

use std::time;

use crate::admission;

const DEFAULT_MARGIN_PERCENT: u32 = 100;
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Admits a request if its predicted wait fits into the time that is left until its deadline.
#[derive(Debug, Clone)]
pub struct AdmissionRule {
    margin_percent: u32,
}

impl AdmissionRule {
    /// Returns a rule that refuses a request whose predicted wait exceeds `margin_percent` of the time left.
    #[must_use]
    pub fn new(margin_percent: u32) -> Self {
        Self { margin_percent }
    }

    /// Decides on a request whose deadline is `time_left` away.
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
