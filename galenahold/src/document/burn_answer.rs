//! What all instances counted.

use galenahold_domain::name;
use serde::Deserialize;

/// What all instances counted, as the operators' face collects it.
#[derive(Debug, Deserialize)]
pub(crate) struct BurnAnswer {
    /// The instances' counts.
    pub(crate) snapshots: Vec<galenahold_report::BurnSnapshot>,
    /// Instances that did not answer in time.
    #[serde(default)]
    pub(crate) missing: Vec<name::InstanceName>,
}
