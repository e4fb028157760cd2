//! One load or unload order as an engine saw it.

use super::PlacementKind;
use serde::{Deserialize, Serialize};

/// Holds an order and the status answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRecord {
    /// What it asked for.
    pub kind: PlacementKind,
    /// The model or adapter.
    pub model: String,
    /// The version, empty where none was named.
    pub version: String,
    /// The number of the order, zero without one.
    pub order: u64,
    /// The value of `x-fencing-number`.
    pub fencing: Option<String>,
    /// Microseconds since the Unix epoch at arrival.
    pub received_us: u64,
    /// Microseconds since the Unix epoch at the answer.
    pub ended_us: Option<u64>,
    /// The status answered.
    pub status: Option<u16>,
}
