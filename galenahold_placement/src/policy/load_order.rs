//! Policy that orders waiting loads.

use crate::policy;

/// Ranks the artifacts that wait for a load.
pub trait LoadOrder {
    /// Returns a score; the candidate with the highest score is loaded first.
    fn score(&self, candidate: &policy::LoadCandidate) -> f64;
}
