//! Policy that selects the server for a load.

use crate::policy;

/// Ranks backend servers for a load.
pub trait Destination {
    /// Returns the cost of a server; the server with the lowest cost is selected.
    fn cost(&self, candidate: &policy::DestinationCandidate) -> f64;
}
