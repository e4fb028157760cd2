//! What the connections of a face may hold.

use std::time;

/// What the connections of a face may hold.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectionLimits {
    /// Connections at once.
    pub(crate) max_connections: usize,
    /// Connections at once from one address.
    pub(crate) max_per_address: usize,
    /// The largest head, in bytes.
    pub(crate) max_head_bytes: usize,
    /// The longest time for a head, which also bounds idle connections.
    pub(crate) head_timeout: time::Duration,
    /// The longest time that sent bytes may stay unread by the caller.
    pub(crate) write_timeout: time::Duration,
}
