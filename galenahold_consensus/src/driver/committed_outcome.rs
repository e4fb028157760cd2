//! The result of a successful proposal.

use crate::log;

/// The result of a command and the log position at which it was committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommittedOutcome<O> {
    /// Log position, usable as a fencing number.
    pub position: log::LogPosition,
    /// Result returned by the state machine.
    pub outcome: O,
}
