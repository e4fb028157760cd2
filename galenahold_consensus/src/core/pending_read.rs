//! [`PendingRead`].

use crate::core;

/// A read that waits for a round of heartbeats.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRead {
    pub(super) ticket: core::ReadTicket,
    pub(super) sequence: u64,
}
