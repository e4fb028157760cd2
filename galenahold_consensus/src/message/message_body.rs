//! [`MessageBody`].

use serde::{Deserialize, Serialize};

use crate::log;
use crate::message;

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks for a vote.
    VoteRequest(message::VoteRequest),
    /// Answers a request for a vote.
    VoteResponse(message::VoteResponse),
    /// Replicates entries.
    AppendRequest(message::AppendRequest),
    /// Answers a replication.
    AppendResponse(message::AppendResponse),
    /// Carries a piece of a snapshot.
    SnapshotChunk(message::SnapshotChunk),
    /// Answers a piece of a snapshot.
    SnapshotProgress {
        /// Snapshot that is being received.
        index: log::LogIndex,
        /// Offset in bytes that the receiver waits for.
        offset: u64,
        /// Echo of the piece's stamp.
        probe: message::ProbeStamp,
    },
    /// Keeps a member's contact with its leader while a snapshot is sent.
    Heartbeat {
        /// Echoed in the answer.
        probe: message::ProbeStamp,
    },
    /// Answers a heartbeat.
    HeartbeatResponse {
        /// Echo of the heartbeat's stamp.
        probe: message::ProbeStamp,
    },
    /// The leader, which has given up its lease, asks the receiver to stand for election.
    ElectNow,
    /// Tells a process that its data folder is an older copy.
    Superseded {
        /// Process that is meant.
        incarnation: u64,
    },
    /// Finds or founds a group.
    Founding(message::BootstrapBody),
}
