//! [`LogSuffix`].

use crate::log;

/// The part of a log that follows a snapshot.
#[derive(Debug)]
pub(super) struct LogSuffix {
    pub(super) entries: Vec<log::LogEntry>,
    /// The log was older than the snapshot and has been dropped.
    pub(super) superseded: bool,
}
