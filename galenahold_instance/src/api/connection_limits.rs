//! Limits on the connections of an HTTP API.

use std::time;

/// Limits on the number, size and idle time of an HTTP API's connections.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectionLimits {
    /// The maximum number of open connections.
    pub(crate) max_connections: usize,
    /// The maximum number of open connections from one client address.
    pub(crate) max_per_address: usize,
    /// The maximum size of a request head, in bytes.
    pub(crate) max_head_bytes: usize,
    /// The maximum time for a request head to arrive, which also closes idle connections.
    pub(crate) head_timeout: time::Duration,
    /// The maximum time that sent bytes may remain unread by the caller.
    pub(crate) write_timeout: time::Duration,
}
