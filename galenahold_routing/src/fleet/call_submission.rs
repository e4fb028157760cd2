//! The scheduler's answer to a submitted call.

use crate::fleet;

/// Whether a submitted call is placed, queued or refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallSubmission {
    /// The call is sent to this server now.
    Placed(fleet::CallPlacement),
    /// The call waits under this ticket.
    Waiting(fleet::CallTicket),
    /// The call cannot be served in time.
    Refused(fleet::SchedulerRefusal),
}
