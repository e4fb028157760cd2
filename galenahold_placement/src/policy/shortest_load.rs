//! Load order by expected load time.

use crate::policy;

/// Loads the artifact with the shortest expected load time first.
#[derive(Debug, Default)]
pub struct ShortestLoad;

impl policy::LoadOrder for ShortestLoad {
    fn score(&self, candidate: &policy::LoadCandidate) -> f64 {
        -candidate.expected_load.as_secs_f64()
    }
}
