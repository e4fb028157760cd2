//! Log recovery relative to the newest snapshot.

use crate::log;

/// The log entries that follow a snapshot.
#[derive(Debug)]
pub(super) struct LogSuffix {
    pub(super) entries: Vec<log::LogEntry>,
    /// The log did not contain the snapshot's position, so its entries were discarded.
    pub(super) superseded: bool,
}
