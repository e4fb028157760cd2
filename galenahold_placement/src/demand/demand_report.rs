//! Demand report of one instance.

use galenahold_domain::{amount, name};
use serde::{Deserialize, Serialize};

use crate::demand;

/// Changes of one instance's demand since its last report.
///
/// The first report of an incarnation contains all values that are not zero.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The reporting instance.
    pub instance: name::InstanceName,
    /// The incarnation of the reporting instance.
    pub incarnation: amount::IncarnationNumber,
    /// Models and adapters whose demand changed.
    pub demands: Vec<demand::ArtifactDemand>,
    /// Replicas whose number of running requests changed.
    pub work: Vec<demand::ReplicaWork>,
}
