//! The policies of an engine.

use crate::policy;

/// The policies of an engine. The default ones are those that won the project's measurements.
#[derive(Debug, Default)]
pub struct PlacementPolicies<
    O = policy::ArrivalOrder,
    K = policy::HistogramKeepAlive,
    D = policy::NearestCheckpoint,
> {
    /// What is loaded first.
    pub order: O,
    /// How long replicas without work are kept.
    pub keep_alive: K,
    /// Where it is loaded.
    pub destination: D,
}
