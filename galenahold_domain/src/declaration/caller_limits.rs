//! What callers may send.

use std::time;

use crate::amount;

/// What callers may send, and how long they may take or stay idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request.
    pub head: amount::ByteCount,
    /// The largest body of a request.
    pub body: amount::ByteCount,
    /// The longest time for the head of a request.
    pub head_timeout: time::Duration,
    /// The longest time that a connection may stay idle.
    pub idle_timeout: time::Duration,
}
