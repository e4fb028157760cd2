//! Loads first what is loaded soonest.

use crate::policy;

/// Loads first what is loaded soonest.
#[derive(Debug, Default)]
pub struct ShortestLoad;

impl policy::LoadOrder for ShortestLoad {
    fn score(&self, candidate: &policy::LoadCandidate) -> f64 {
        -candidate.expected_load.as_secs_f64()
    }
}
