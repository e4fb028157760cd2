//! The `InstallSnapshot` request of Raft.

use serde::{Deserialize, Serialize};

use crate::log;
use crate::message;

/// A chunk of a snapshot that the leader sends to a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Metadata of the whole snapshot.
    pub meta: log::SnapshotMeta,
    /// Offset of the chunk in bytes.
    pub offset: u64,
    /// Length of the whole snapshot in bytes.
    pub total: u64,
    /// Bytes of the chunk.
    pub data: bytes::Bytes,
    /// Probe stamp to echo in the response.
    pub probe: message::ProbeStamp,
}
