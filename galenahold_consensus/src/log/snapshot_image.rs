//! Complete snapshot in memory.

use crate::log;

/// A snapshot of the state machine with its metadata.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotImage {
    /// Log position and membership of the snapshot.
    pub meta: log::SnapshotMeta,
    /// State of the state machine, encoded by the state machine itself.
    pub data: bytes::Bytes,
}
