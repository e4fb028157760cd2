//! [`SnapshotTransfer`].

use crate::core;
use crate::log;

/// How far a snapshot has been sent to a member.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotTransfer {
    /// Snapshot that is sent.
    pub index: log::LogIndex,
    /// Offset in bytes of the piece that is under way.
    pub offset: u64,
    /// When the piece left; none if it has still to leave.
    pub sent_at: Option<core::MonotonicTime>,
}
