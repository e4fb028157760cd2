//! [`AppendResponse`].

use serde::{Deserialize, Serialize};

use crate::log;
use crate::message;

/// Answer to a [`message::AppendRequest`] or the last [`message::SnapshotChunk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Whether the entries fitted.
    pub accepted: bool,
    /// The request's previous index.
    pub previous: log::LogIndex,
    /// Accepted: last index known to match. Refused: where the leader should try next.
    pub matched: log::LogIndex,
    /// Echo of the request's stamp.
    pub probe: message::ProbeStamp,
}
