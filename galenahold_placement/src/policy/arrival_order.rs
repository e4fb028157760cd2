//! Loads first what waits longest.

use crate::policy;

/// Loads first what waits longest.
#[derive(Debug, Default)]
pub struct ArrivalOrder;

impl policy::LoadOrder for ArrivalOrder {
    fn score(&self, candidate: &policy::LoadCandidate) -> f64 {
        candidate.oldest_wait.as_secs_f64()
    }
}
