//! [`ProbeStamp`].

use serde::{Deserialize, Serialize};

use crate::core;

/// A leader's own mark on a message, echoed by the receiver.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeStamp {
    /// Counts the leader's rounds within its term.
    pub sequence: u64,
    /// When the leader made the message, by the leader's own clock.
    pub sent_at: core::MonotonicTime,
}
