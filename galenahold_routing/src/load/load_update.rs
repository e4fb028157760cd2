//! Updates of an instance's load view.

use serde::{Deserialize, Serialize};

use crate::load;

/// What has changed in the leader's load table since the version that an instance has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// The term and version that the instance has after the update.
    pub version: load::LoadVersion,
    /// The time from the summing up to the sending of the update, in milliseconds.
    pub age_ms: u64,
    /// Whether the update replaces all that the instance has.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_full: bool,
    /// Servers that are new or have restarted; each starts without load and of unknown speed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<load::ServerRow>,
    /// Changed loads, ordered by the numbers of their servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<load::LoadRow>,
    /// Models that are new.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<load::ModelRow>,
    /// Changed base times.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bases: Vec<load::BaseRow>,
}
