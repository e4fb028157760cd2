//! [`AppendRequest`].

use serde::{Deserialize, Serialize};

use crate::log;
use crate::message;

/// Entries from the leader; without entries it is a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Position right before the entries.
    pub previous: log::LogPosition,
    /// The entries, without a gap.
    pub entries: Vec<log::LogEntry>,
    /// The leader's commit index.
    pub commit: log::LogIndex,
    /// Echoed in the answer.
    pub probe: message::ProbeStamp,
    /// What the leader knows of the members' durable state; not on each message.
    #[serde(default)]
    pub marks: Vec<message::MemberWatermark>,
}
