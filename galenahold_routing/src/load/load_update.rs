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
    /// Changed numbers of calls in flight.
    #[serde(default, skip_serializing_if = "load::LoadColumn::is_empty")]
    pub running: load::LoadColumn,
    /// Changed numbers of prompt tokens of calls whose answer has not begun.
    #[serde(default, skip_serializing_if = "load::LoadColumn::is_empty")]
    pub unread: load::LoadColumn,
    /// Changed numbers of expected tokens in memory.
    #[serde(default, skip_serializing_if = "load::LoadColumn::is_empty")]
    pub cache: load::LoadColumn,
    /// Changed times for an event relative to the mean of all servers.
    #[serde(default, skip_serializing_if = "load::LoadColumn::is_empty")]
    pub paces: load::LoadColumn,
    /// Models that are new.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<load::ModelRow>,
    /// Changed base times.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bases: Vec<load::BaseRow>,
}
