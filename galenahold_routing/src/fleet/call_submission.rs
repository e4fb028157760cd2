//! What the board says to a new call.

use crate::fleet;

/// What the board says to a new call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallSubmission {
    /// It goes there now.
    Placed(fleet::CallPlacement),
    /// It waits.
    Waiting(fleet::CallTicket),
    /// It cannot be served in time.
    Refused(fleet::SchedulerRefusal),
}
