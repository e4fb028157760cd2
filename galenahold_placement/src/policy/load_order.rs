//! Ranks what waits to be loaded.

use crate::policy;

/// Ranks what waits to be loaded.
pub trait LoadOrder {
    /// Returns a score; the highest is loaded first.
    fn score(&self, candidate: &policy::LoadCandidate) -> f64;
}
