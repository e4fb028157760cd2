//! Checks of the Raft safety properties after each step of the model.

use std::collections;

use galenahold_consensus::core;
use galenahold_consensus::log;
use galenahold_consensus::member;

use crate::member_state;

/// Checks the safety properties against the commits, leaders and leases seen so far.
#[derive(Debug, Default)]
pub(crate) struct SafetyChecker {
    committed: collections::BTreeMap<log::LogIndex, log::LogEntry>,
    leaders: collections::BTreeMap<log::Term, member::MemberId>,
    pub(crate) elections: usize,
    pub(crate) leases: usize,
}

impl SafetyChecker {
    pub(crate) fn highest_committed(&self) -> log::LogIndex {
        self.committed
            .last_key_value()
            .map_or(log::LogIndex::ZERO, |(index, _)| *index)
    }

    /// Checks state machine safety: at most one entry is ever committed at an index.
    pub(crate) fn record_commit(&mut self, entry: &log::LogEntry) {
        let index = entry.position.index;
        let known = self.committed.entry(index).or_insert_with(|| entry.clone());
        assert_eq!(known, entry, "two entries are committed at {index}");
    }

    /// Checks that an installed snapshot contains only committed entries.
    pub(crate) fn check_installed(&self, image: &log::SnapshotImage) {
        let position = image.meta.position;
        let known = &self.committed[&position.index];
        assert_eq!(
            known.position, position,
            "the snapshot contains entries that are not committed"
        );
        let expected = format!("state after {} of term {}", position.index, position.term);
        assert_eq!(
            image.data,
            expected.as_bytes(),
            "the snapshot data is corrupt"
        );
    }

    pub(crate) fn check(&mut self, members: &mut [member_state::MemberState], real_nanos: u64) {
        self.check_leaders(members);
        check_log_matching(members);
        self.check_leases(members, real_nanos);
    }

    /// Checks election safety, and leader completeness when a leader is first seen.
    fn check_leaders(&mut self, members: &[member_state::MemberState]) {
        for state in members {
            let Some(node) = &state.node else {
                continue;
            };
            if node.role() != core::NodeRole::Leader {
                continue;
            }
            let id = member_state::MemberState::profile(state.number).id;
            let known = self.leaders.insert(node.term(), id);
            assert!(
                known.is_none_or(|known| known == id),
                "two leaders in term {}",
                node.term()
            );
            if known.is_none() {
                self.elections += 1;
                self.check_completeness(node);
            }
        }
    }

    fn check_completeness(&self, node: &core::RaftNode) {
        for (index, entry) in &self.committed {
            let later = entry.position.term > node.term();
            let covered = *index < node.log().base().index;
            assert!(
                later || covered || node.log().matches(entry.position),
                "the leader of term {} lacks committed {index}",
                node.term()
            );
        }
    }

    /// Checks that at most one member holds a lease at a time.
    ///
    /// A lease counts until its end, even if its holder has stepped down or crashed since.
    fn check_leases(&mut self, members: &mut [member_state::MemberState], real_nanos: u64) {
        for state in members.iter_mut() {
            let now = state.clock(real_nanos);
            let node = state.node.as_ref();
            let lease = node.and_then(|node| node.lease_until(now));
            if let Some(until) = lease {
                let end = state.real_nanos(until);
                state.lease_end_nanos = state.lease_end_nanos.max(end);
            }
        }
        let holders: Vec<usize> = members
            .iter()
            .filter(|state| state.lease_end_nanos > real_nanos)
            .map(|state| state.number)
            .collect();
        self.leases += holders.len();
        assert!(
            holders.len() <= 1,
            "members {holders:?} hold leases at the same time"
        );
    }
}

/// Checks log matching: two logs that contain the same position are equal up to it.
fn check_log_matching(members: &[member_state::MemberState]) {
    let nodes: Vec<&core::RaftNode> = members
        .iter()
        .filter_map(|state| state.node.as_ref())
        .collect();
    for (position, left) in nodes.iter().enumerate() {
        for right in &nodes[position + 1..] {
            check_pair(left.log(), right.log());
        }
    }
}

fn check_pair(left: &log::RaftLog, right: &log::RaftLog) {
    let mut index = left.last().index.min(right.last().index);
    let mut matched = false;
    while index > left.base().index.max(right.base().index) {
        let (one, other) = (left.get(index), right.get(index));
        let same = one.map(|entry| entry.position) == other.map(|entry| entry.position);
        matched |= same;
        if matched {
            assert_eq!(one, other, "logs differ at {index} below a common position");
        }
        index = index.previous();
    }
}
