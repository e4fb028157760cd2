//! Size limits and timeouts of callers' connections.

use std::time;

use crate::amount;

/// Limits on the size of requests, and on the time that callers take to send them or stay idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request's head.
    pub head: amount::ByteCount,
    /// The maximum size of a request's body.
    pub body: amount::ByteCount,
    /// The maximum time to receive a request's head.
    pub head_timeout: time::Duration,
    /// The maximum time that a connection may stay idle.
    pub idle_timeout: time::Duration,
}
