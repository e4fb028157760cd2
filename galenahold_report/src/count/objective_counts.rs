//! Counts of good and bad events.

use galenahold_domain::intent;
use serde::{Deserialize, Serialize};

use crate::count;

/// Counts of requests measured against the objectives over a period of time.
///
/// Serialized documents omit fields that are 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ObjectiveCounts {
    /// Requests that were answered completely.
    #[serde(skip_serializing_if = "is_zero")]
    pub answered: u64,
    /// Requests that failed.
    #[serde(skip_serializing_if = "is_zero")]
    pub failed: u64,
    /// Requests refused although the team was within its rate and burst.
    #[serde(skip_serializing_if = "is_zero")]
    pub refused_inside_rate: u64,
    /// Answers whose first token met the latency limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub first_token_met: u64,
    /// Answers whose first token missed the latency limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub first_token_missed: u64,
    /// Gaps between tokens that met the latency limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub between_tokens_met: u64,
    /// Gaps between tokens that missed the latency limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub between_tokens_missed: u64,
    /// Total wait of the requests, in microseconds.
    #[serde(skip_serializing_if = "is_zero")]
    pub wait_total_us: u64,
    /// The longest wait, in microseconds.
    #[serde(skip_serializing_if = "is_zero")]
    pub wait_max_us: u64,
}

impl ObjectiveCounts {
    /// Returns the counts of one request; all are 0 for a request that was refused by rule.
    pub(crate) fn of(
        measurement: &count::RequestMeasurement,
        objective: &intent::ServiceObjective,
    ) -> Self {
        let mut counts = Self::default();
        match measurement.outcome {
            count::RequestOutcome::Answered => counts.answered = 1,
            count::RequestOutcome::Failed => counts.failed = 1,
            count::RequestOutcome::RefusedInsideRate => counts.refused_inside_rate = 1,
            count::RequestOutcome::RefusedByRule => return counts,
        }
        let wait_us = u64::try_from(measurement.wait.as_micros()).unwrap_or(u64::MAX);
        counts.wait_total_us = wait_us;
        counts.wait_max_us = wait_us;
        if let Some(first_token) = measurement.first_token {
            let met = first_token.as_millis() <= u128::from(objective.first_token_ms);
            counts.first_token_met = u64::from(met);
            counts.first_token_missed = u64::from(!met);
        }
        counts.between_tokens_met = measurement.token_gaps.met;
        counts.between_tokens_missed = measurement.token_gaps.missed;
        counts
    }

    /// Adds `other` to these counts; the longest wait is the maximum of both.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.refused_inside_rate += other.refused_inside_rate;
        self.first_token_met += other.first_token_met;
        self.first_token_missed += other.first_token_missed;
        self.between_tokens_met += other.between_tokens_met;
        self.between_tokens_missed += other.between_tokens_missed;
        self.wait_total_us = self.wait_total_us.saturating_add(other.wait_total_us);
        self.wait_max_us = self.wait_max_us.max(other.wait_max_us);
    }

    /// Returns the number of requests counted.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.answered + self.failed + self.refused_inside_rate
    }
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
fn is_zero(count: &u64) -> bool {
    *count == 0
}
