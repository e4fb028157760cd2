//! [`TransferState`].

use crate::core;
use crate::member;

/// A handover of leadership under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct TransferState {
    pub(super) target: member::MemberId,
    /// End of the lease at the start of the handover; it is not extended any more.
    pub(super) lease_until: core::MonotonicTime,
    pub(super) deadline: core::MonotonicTime,
    pub(super) target_notified: bool,
}
