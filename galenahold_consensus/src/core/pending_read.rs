//! Linearizable read that waits for a quorum.

use crate::core;

/// A read that is ready once a quorum has answered the heartbeat round `sequence`.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRead {
    pub(super) ticket: core::ReadTicket,
    pub(super) sequence: u64,
}
