//! The `AppendEntries` response of Raft, with a hint for mismatches.

use serde::{Deserialize, Serialize};

use crate::log;
use crate::message;

/// Response to a [`message::AppendRequest`] or the last [`message::SnapshotChunk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Whether the receiver's log contained the request's previous entry.
    pub accepted: bool,
    /// Index of the request's previous entry.
    pub previous: log::LogIndex,
    /// If accepted, the last index known to match; otherwise the index that the leader should probe
    /// next.
    pub matched: log::LogIndex,
    /// Probe stamp of the request.
    pub probe: message::ProbeStamp,
}
