//! State of a leadership transfer on the old leader.

use crate::core;
use crate::member;

/// A leadership transfer in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct TransferState {
    pub(super) target: member::MemberId,
    /// End of the lease when the transfer started; the lease is not extended any more.
    pub(super) lease_until: core::MonotonicTime,
    pub(super) deadline: core::MonotonicTime,
    /// Whether the target was told to start an election.
    pub(super) target_notified: bool,
}
