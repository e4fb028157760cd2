//! Entry of the replicated log.

use serde::{Deserialize, Serialize};

use crate::log;

/// A log entry: its position and payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term and index of the entry.
    pub position: log::LogPosition,
    /// Command, membership or no-op.
    pub payload: log::EntryPayload,
}

impl LogEntry {
    /// Allowance for the fields of an entry other than its command.
    const OVERHEAD_BYTES: usize = 64;

    /// Estimates the size of the entry on the wire, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        match &self.payload {
            log::EntryPayload::Command(command) => command.len() + Self::OVERHEAD_BYTES,
            _ => Self::OVERHEAD_BYTES,
        }
    }
}
