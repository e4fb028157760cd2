//! A fault with what came of it.

use super::FleetFault;
use serde::{Deserialize, Serialize};

/// A fault with what came of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FaultRecord {
    /// Milliseconds from the start of the load at its end.
    pub done_ms: u64,
    /// The fault.
    #[serde(flatten)]
    pub fault: FleetFault,
    /// Why it could not be made, if so.
    pub error: Option<String>,
}
