//! What became of a waiting call.

use crate::fleet;

/// What became of a waiting call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedCall {
    /// The call.
    pub ticket: fleet::CallTicket,
    /// Where it goes, or why it goes nowhere.
    pub result: Result<fleet::CallPlacement, fleet::SchedulerRefusal>,
}
