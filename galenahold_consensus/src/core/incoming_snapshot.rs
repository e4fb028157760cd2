//! Buffer of a follower that receives a snapshot in chunks.

use crate::log;

/// A partly received snapshot.
#[derive(Debug, Clone)]
pub(super) struct IncomingSnapshot {
    pub(super) meta: log::SnapshotMeta,
    pub(super) data: Vec<u8>,
}
