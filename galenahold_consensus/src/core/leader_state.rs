//! Volatile state of a leader, reinitialized after each election.

use std::collections;

use crate::core;
use crate::log;
use crate::member;
use crate::message;

/// State that a member holds only while it is the leader.
#[derive(Debug, Clone)]
pub(super) struct LeaderState {
    pub(super) term: log::Term,
    /// When the member was elected.
    pub(super) began_at: core::MonotonicTime,
    /// Voters whose data folders were known to be lost when the leader's campaign began.
    pub(super) lost: collections::BTreeSet<member::MemberId>,
    pub(super) progress: collections::BTreeMap<member::MemberId, core::MemberProgress>,
    /// Index of the first entry of the leader's term.
    pub(super) term_start_index: log::LogIndex,
    /// Number of the current heartbeat round.
    pub(super) sequence: u64,
    pub(super) next_heartbeat_at: core::MonotonicTime,
    /// Time from which the next heartbeat carries the members' watermarks.
    pub(super) next_watermarks_at: core::MonotonicTime,
    pub(super) pending_reads: Vec<core::PendingRead>,
    pub(super) transfer: Option<core::TransferState>,
    /// Latest end of a lease that was granted before the last membership change or leadership
    /// transfer of this term.
    pub(super) earlier_lease_until: core::MonotonicTime,
}

impl LeaderState {
    /// Returns the stamp for messages of the current heartbeat round.
    pub(super) fn probe_stamp(&self, now: core::MonotonicTime) -> message::ProbeStamp {
        message::ProbeStamp {
            term: self.term,
            sequence: self.sequence,
            sent_at: now,
        }
    }

    /// Returns whether a stamp was made in this term; a member can answer a message of an earlier
    /// term in the current one.
    ///
    /// Members of earlier versions echo no term. Their stamps of earlier terms were made before this
    /// leadership began.
    pub(super) fn is_current(&self, probe: message::ProbeStamp) -> bool {
        let is_term = probe.term == self.term || probe.term == log::Term::ZERO;
        is_term && probe.sent_at >= self.began_at && probe.sequence <= self.sequence
    }

    /// Returns the highest value that a quorum of the voters has reached, counting the leader's
    /// own.
    pub(super) fn quorum_value<V: Copy + Ord>(
        &self,
        membership: &member::MembershipList,
        own: (member::MemberId, V),
        value: impl Fn(&core::MemberProgress) -> Option<V>,
    ) -> Option<V> {
        let value_of = |voter: member::MemberId| {
            if voter == own.0 {
                return Some(own.1);
            }
            self.progress.get(&voter).and_then(&value)
        };
        let mut values: Vec<V> = membership.voters().filter_map(value_of).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.into_iter().find(|reached| {
            let agrees = |voter| value_of(voter).is_some_and(|value| value >= *reached);
            membership.is_quorum(agrees, &self.lost)
        })
    }
}
