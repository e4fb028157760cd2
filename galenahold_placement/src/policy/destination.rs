//! Ranks backend servers for a load.

use crate::policy;

/// Ranks backend servers for a load.
pub trait Destination {
    /// Returns a cost; the lowest is chosen.
    fn cost(&self, candidate: &policy::DestinationCandidate) -> f64;
}
