//! Stamps that match a response with the leader's request.

use serde::{Deserialize, Serialize};

use crate::core;
use crate::log;

/// A leader's term, heartbeat round and send time, echoed in the response.
///
/// The leader derives its lease and confirms reads from the echoed stamps of its term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeStamp {
    /// The leader's term; zero if the member that echoes the stamp does not know this field.
    #[serde(default)]
    pub term: log::Term,
    /// Number of the heartbeat round within the leader's term.
    pub sequence: u64,
    /// When the leader created the message, by the leader's clock.
    pub sent_at: core::MonotonicTime,
}
