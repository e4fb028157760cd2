//! [`LogEntry`].

use serde::{Deserialize, Serialize};

use crate::log;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term and index.
    pub position: log::LogPosition,
    /// What it carries.
    pub payload: log::EntryPayload,
}

impl LogEntry {
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
