//! Stamps that match a response with the leader's request.

use serde::{Deserialize, Serialize};

use crate::core;

/// A leader's heartbeat round and send time, echoed in the response.
///
/// The leader derives its lease and confirms reads from the echoed stamps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeStamp {
    /// Number of the heartbeat round within the leader's term.
    pub sequence: u64,
    /// When the leader created the message, by the leader's clock.
    pub sent_at: core::MonotonicTime,
}
