//! [`CommittedOutcome`].

use crate::log;

/// Result of a command with the position at which it was committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommittedOutcome<O> {
    /// Position, usable as a fencing number.
    pub position: log::LogPosition,
    /// Result.
    pub outcome: O,
}
