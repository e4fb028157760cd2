//! [`SnapshotImage`].

use crate::log;

/// A snapshot of the state machine with what it stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotImage {
    /// Position and membership.
    pub meta: log::SnapshotMeta,
    /// The state machine's own bytes.
    pub data: bytes::Bytes,
}
