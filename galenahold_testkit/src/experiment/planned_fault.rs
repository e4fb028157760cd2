//! A fault with its time.

use super::FleetFault;
use serde::{Deserialize, Serialize};

/// A fault with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// Milliseconds from the start of the load.
    pub at_ms: u64,
    /// The fault.
    #[serde(flatten)]
    pub fault: FleetFault,
}
