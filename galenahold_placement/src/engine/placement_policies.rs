//! Set of policies of a placement engine.

use crate::policy;

/// Policies of a placement engine. The defaults are the policies that performed best in the
/// project's measurements.
#[derive(Debug, Default)]
pub struct PlacementPolicies<
    O = policy::ArrivalOrder,
    K = policy::HistogramKeepAlive,
    D = policy::NearestCheckpoint,
> {
    /// Ranks the artifacts that wait for a load.
    pub order: O,
    /// Decides how long idle replicas are kept.
    pub keep_alive: K,
    /// Ranks the servers for a load.
    pub destination: D,
}
