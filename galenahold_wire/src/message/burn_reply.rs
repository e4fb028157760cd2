//! What an instance counted against the services' objectives.

use serde::{Deserialize, Serialize};

/// Asks for what an instance counted.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct BurnRequest {}

/// What an instance counted, as a JSON document of the report crate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BurnReply {
    /// The document.
    pub snapshot: String,
}
