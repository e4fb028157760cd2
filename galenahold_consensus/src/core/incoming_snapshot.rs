//! [`IncomingSnapshot`].

use crate::log;

/// A snapshot that is being received.
#[derive(Debug, Clone)]
pub(super) struct IncomingSnapshot {
    pub(super) meta: log::SnapshotMeta,
    pub(super) data: Vec<u8>,
}
