//! Load order by waiting time.

use crate::policy;

/// Loads the artifact with the oldest waiting request first.
#[derive(Debug, Default)]
pub struct ArrivalOrder;

impl policy::LoadOrder for ArrivalOrder {
    fn score(&self, candidate: &policy::LoadCandidate) -> f64 {
        candidate.oldest_wait.as_secs_f64()
    }
}
