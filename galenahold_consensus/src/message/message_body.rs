//! Kinds of consensus messages.

use serde::{Deserialize, Serialize};

use crate::log;
use crate::message;

/// Contents of a consensus message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Requests a vote or pre-vote.
    VoteRequest(message::VoteRequest),
    /// Responds to a vote request.
    VoteResponse(message::VoteResponse),
    /// Replicates log entries.
    AppendRequest(message::AppendRequest),
    /// Responds to an append request or to the last chunk of a snapshot.
    AppendResponse(message::AppendResponse),
    /// Sends a chunk of a snapshot.
    SnapshotChunk(message::SnapshotChunk),
    /// Responds to a chunk of a snapshot that is not complete yet.
    SnapshotProgress {
        /// Index of the last entry that the snapshot includes.
        index: log::LogIndex,
        /// Offset in bytes of the chunk that the receiver expects next.
        offset: u64,
        /// Probe stamp of the chunk.
        probe: message::ProbeStamp,
    },
    /// Heartbeat from the leader to a member that receives a snapshot.
    Heartbeat {
        /// Probe stamp to echo in the response.
        probe: message::ProbeStamp,
    },
    /// Responds to a heartbeat, or to a message of a stale leader.
    HeartbeatResponse {
        /// Probe stamp of the heartbeat.
        probe: message::ProbeStamp,
    },
    /// Tells the target of a leadership transfer to start an election at once (`TimeoutNow` in
    /// Raft).
    ///
    /// The leader has given up its lease before it sends this message.
    ElectNow,
    /// Tells the leader that the sender stops, for a restart or for good.
    Leaving,
    /// Tells a process that its data folder is an older copy, or that a later process has replaced
    /// it.
    Superseded {
        /// Process that is addressed.
        incarnation: u64,
    },
    /// Bootstrap message of an instance that creates or joins a group.
    Founding(message::BootstrapBody),
}
