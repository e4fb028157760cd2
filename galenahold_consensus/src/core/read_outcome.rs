//! Result of a linearizable read request.

use crate::core;
use crate::log;

/// Outcome of a read request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The read is linearizable on any state that has applied the index.
    Ready {
        /// Ticket of the read request.
        ticket: core::ReadTicket,
        /// Index that must be applied before the read.
        index: log::LogIndex,
    },
    /// This member is not the leader, or it lost or transferred leadership before a quorum
    /// confirmed the read.
    Refused {
        /// Ticket of the read request.
        ticket: core::ReadTicket,
    },
}
