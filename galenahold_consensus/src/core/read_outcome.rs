//! [`ReadOutcome`].

use crate::core;
use crate::log;

/// Answer to a read request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// A state with the index applied is fresh enough.
    Ready {
        /// The request.
        ticket: core::ReadTicket,
        /// Index that must be applied before the read.
        index: log::LogIndex,
    },
    /// The member does not lead.
    Refused {
        /// The request.
        ticket: core::ReadTicket,
    },
}
