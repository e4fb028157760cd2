//! [`LeaderState`].

use std::collections;

use crate::core;
use crate::log;
use crate::member;
use crate::message;

/// What only a leader knows.
#[derive(Debug, Clone)]
pub(super) struct LeaderState {
    pub(super) progress: collections::BTreeMap<member::MemberId, core::MemberProgress>,
    pub(super) term_start_index: log::LogIndex,
    pub(super) sequence: u64,
    pub(super) next_heartbeat_at: core::MonotonicTime,
    /// When the members' marks are to be sent along again.
    pub(super) next_watermarks_at: core::MonotonicTime,
    pub(super) pending_reads: Vec<core::PendingRead>,
    pub(super) transfer: Option<core::TransferState>,
    /// Latest end of a lease that an earlier membership of the term gave.
    pub(super) earlier_lease_until: core::MonotonicTime,
}

impl LeaderState {
    pub(super) fn probe_stamp(&self, now: core::MonotonicTime) -> message::ProbeStamp {
        message::ProbeStamp {
            sequence: self.sequence,
            sent_at: now,
        }
    }

    /// Returns the value that a quorum of the voters reaches, the leader's own included.
    pub(super) fn quorum_value<V: Copy + Ord>(
        &self,
        membership: &member::MembershipList,
        own: (member::MemberId, V),
        value: impl Fn(&core::MemberProgress) -> Option<V>,
    ) -> Option<V> {
        let mut values: Vec<Option<V>> = membership
            .voters()
            .map(|voter| {
                if voter == own.0 {
                    return Some(own.1);
                }
                self.progress.get(&voter).and_then(&value)
            })
            .collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(membership.quorum() - 1).copied().flatten()
    }
}
