//! Burn counters of an instance, which measure requests against the services' objectives.

use serde::{Deserialize, Serialize};

/// A request for an instance's burn counters.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct BurnRequest {}

/// The burn counters of an instance, as a JSON document of the report crate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BurnReply {
    /// The JSON document.
    pub snapshot: String,
}
