//! [`SnapshotChunk`].

use serde::{Deserialize, Serialize};

use crate::log;
use crate::message;

/// A piece of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// What the whole snapshot stands for.
    pub meta: log::SnapshotMeta,
    /// Offset of the piece in bytes.
    pub offset: u64,
    /// Length of the whole snapshot in bytes.
    pub total: u64,
    /// The piece.
    pub data: bytes::Bytes,
    /// Echoed in the answer.
    pub probe: message::ProbeStamp,
}
