//! The `AppendEntries` request of Raft.

use serde::{Deserialize, Serialize};

use crate::log;
use crate::message;

/// Log entries from the leader; a request without entries is a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Position of the entry right before `entries`.
    pub previous: log::LogPosition,
    /// Entries to append, without a gap.
    pub entries: Vec<log::LogEntry>,
    /// The leader's commit index.
    pub commit: log::LogIndex,
    /// Probe stamp to echo in the response.
    pub probe: message::ProbeStamp,
    /// Watermarks of all members; empty in most requests.
    #[serde(default)]
    pub marks: Vec<message::MemberWatermark>,
    /// Members that the leader has not heard for a while; leaders of earlier versions list none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silences: Vec<message::MemberSilence>,
}
