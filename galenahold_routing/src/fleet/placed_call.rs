//! The scheduler's decision on a waiting call.

use crate::fleet;

/// A waiting call that was placed or refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedCall {
    /// The ticket of the call.
    pub ticket: fleet::CallTicket,
    /// The placement, or the refusal.
    pub result: Result<fleet::CallPlacement, fleet::SchedulerRefusal>,
}
