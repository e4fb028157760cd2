//! What one instance reports of its demand.

use galenahold_domain::{amount, name};
use serde::{Deserialize, Serialize};

use crate::demand;

/// What one instance reports of its demand: the values that changed since its last report.
///
/// The first report of an incarnation holds all values that are not zero.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The instance.
    pub instance: name::InstanceName,
    /// Its incarnation.
    pub incarnation: amount::IncarnationNumber,
    /// Models and adapters whose demand changed.
    pub demands: Vec<demand::ArtifactDemand>,
    /// Replicas whose work changed.
    pub work: Vec<demand::ReplicaWork>,
}
