//! Progress of an `InstallSnapshot` transfer to one member.

use crate::core;
use crate::log;

/// Progress of sending a snapshot to a member.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotTransfer {
    /// Index of the last entry that the snapshot includes.
    pub index: log::LogIndex,
    /// Offset in bytes of the chunk that the member expects next.
    pub offset: u64,
    /// When the chunk was sent; `None` if it has not been sent yet.
    pub sent_at: Option<core::MonotonicTime>,
}
