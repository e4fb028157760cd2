//! Log replication: append requests, their acknowledgements and the commit index.

use std::time;

use crate::core;
use crate::log;
use crate::member;
use crate::message;

/// Interval at which a leader sends all members' watermarks to the members.
const WATERMARK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Number of heartbeat intervals without an answer after which a leader reports a member as silent.
const SILENT_HEARTBEATS: u32 = 2;

impl core::RaftNode {
    /// Sends each member as many entries as its append window allows.
    pub(super) fn replicate_to_members(&mut self, now: core::MonotonicTime) {
        for id in self.other_members() {
            self.replicate_to_member(id, now);
        }
    }

    /// Sends each member a message that requires a response: an append request, which may carry
    /// entries, or a heartbeat while a snapshot is sent.
    pub(super) fn send_heartbeats(&mut self, now: core::MonotonicTime) {
        let watermarks = self.due_watermarks(now);
        for id in self.other_members() {
            self.send_heartbeat(id, &watermarks, now);
        }
    }

    pub(super) fn receive_append(
        &mut self,
        sender: &core::MessageSender,
        request: &message::AppendRequest,
    ) {
        self.merge_watermarks(&request.marks);
        self.record_leader_watermark(sender, request.commit);
        if let Some(hint) = self.mismatch_hint(request.previous) {
            self.send_append_response(sender, request, false, hint);
            return;
        }
        let matched =
            log::LogIndex::new(request.previous.index.get() + request.entries.len() as u64);
        for entry in &request.entries {
            self.store_entry(entry);
        }
        self.commit_to(request.commit.min(matched));
        self.send_append_response(sender, request, true, matched);
    }

    pub(super) fn receive_append_response(
        &mut self,
        id: member::MemberId,
        response: message::AppendResponse,
    ) {
        let term = self.hard_state.term;
        let last = self.log.last().index;
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let Some(progress) = state.progress.get_mut(&id) else {
            return;
        };
        if !response.accepted {
            progress.record_mismatch(response.previous, response.matched);
            return;
        }
        let matched = response.matched.min(last);
        progress.record_match(matched);
        let position = log::LogPosition {
            term,
            index: matched,
        };
        self.watermarks.acknowledge(id, position, self.commit);
        self.advance_commit();
    }

    /// Advances the commit index to the highest index that a quorum holds durably.
    ///
    /// Only entries of the current term are committed by counting members (Raft paper, section
    /// 5.4.2).
    pub(super) fn advance_commit(&mut self) {
        while let Some(quorum_index) =
            self.quorum_value(self.durable, |progress| Some(progress.matched))
        {
            let is_current_term = self.log.term_at(quorum_index) == Some(self.hard_state.term);
            if quorum_index <= self.commit || !is_current_term {
                return;
            }
            self.commit_to(quorum_index);
            self.complete_reads();
            self.step_down_if_removed();
            self.confirm_membership();
        }
    }

    /// Sends a member whose removal is committed the entries that it lacks and the commit index.
    pub(super) fn send_last_entries(&mut self, id: member::MemberId, now: core::MonotonicTime) {
        let base = self.log.base().index;
        if self
            .progress(id)
            .is_some_and(|progress| progress.next > base)
        {
            self.send_entries(id, Vec::new(), now);
        }
    }

    fn other_members(&self) -> Vec<member::MemberId> {
        self.leader_state()
            .map(|state| state.progress.keys().copied().collect())
            .unwrap_or_default()
    }

    fn replicate_to_member(&mut self, id: member::MemberId, now: core::MonotonicTime) {
        loop {
            let window = self.settings.append_window;
            let last = self.log.last().index;
            let Some(progress) = self.progress(id) else {
                return;
            };
            let can_send = match &progress.phase {
                core::ProgressPhase::Probe { waiting } => !waiting,
                core::ProgressPhase::Replicate(sent) => {
                    progress.next <= last && sent.len() < window
                }
                core::ProgressPhase::Snapshot(_) => {
                    self.send_snapshot(id, now);
                    return;
                }
            };
            if !can_send {
                return;
            }
            if progress.next <= self.log.base().index {
                self.start_snapshot_transfer(id);
            } else {
                self.send_entries(id, Vec::new(), now);
            }
        }
    }

    fn send_heartbeat(
        &mut self,
        id: member::MemberId,
        watermarks: &[message::MemberWatermark],
        now: core::MonotonicTime,
    ) {
        let base = self.log.base().index;
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let probe = state.probe_stamp(now);
        let Some(progress) = state.progress.get_mut(&id) else {
            return;
        };
        if let core::ProgressPhase::Probe { waiting } = &mut progress.phase {
            *waiting = false;
        }
        let sends_snapshot = matches!(progress.phase, core::ProgressPhase::Snapshot(_));
        if !sends_snapshot && progress.next > base {
            self.send_entries(id, watermarks.to_vec(), now);
            return;
        }
        if !sends_snapshot {
            self.start_snapshot_transfer(id);
        }
        self.send_immediate(id, message::MessageBody::Heartbeat { probe });
    }

    fn send_entries(
        &mut self,
        id: member::MemberId,
        marks: Vec<message::MemberWatermark>,
        now: core::MonotonicTime,
    ) {
        let budget_bytes = self.settings.append_budget_bytes;
        let window = self.settings.append_window;
        let core::RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let probe = state.probe_stamp(now);
        let Some(progress) = state.progress.get_mut(&id) else {
            return;
        };
        let previous = log::LogPosition {
            index: progress.next.previous(),
            term: self
                .log
                .term_at(progress.next.previous())
                .unwrap_or_default(),
        };
        let window_full =
            matches!(&progress.phase, core::ProgressPhase::Replicate(sent) if sent.len() >= window);
        let batch = if window_full {
            Vec::new()
        } else {
            self.log.batch_from(progress.next, budget_bytes)
        };
        match &mut progress.phase {
            core::ProgressPhase::Probe { waiting } => *waiting = true,
            core::ProgressPhase::Replicate(sent) => {
                if let Some(entry) = batch.last() {
                    progress.next = entry.position.index.next();
                    sent.push_back(entry.position.index);
                }
            }
            core::ProgressPhase::Snapshot(_) => return,
        }
        let body = message::MessageBody::AppendRequest(message::AppendRequest {
            previous,
            entries: batch,
            commit: self.commit,
            probe,
            marks,
            silences: self.silences(now),
        });
        self.send_immediate(id, body);
    }

    /// Returns the watermarks of all members if they are due, otherwise none.
    fn due_watermarks(&mut self, now: core::MonotonicTime) -> Vec<message::MemberWatermark> {
        let Some(state) = self.leader_state_mut() else {
            return Vec::new();
        };
        if now < state.next_watermarks_at {
            return Vec::new();
        }
        state.next_watermarks_at = now + WATERMARK_INTERVAL;
        self.watermarks.iter().copied().collect()
    }

    /// Returns the members that have not answered for a while.
    pub(super) fn silences(&self, now: core::MonotonicTime) -> Vec<message::MemberSilence> {
        let shortest = self.settings.heartbeat_interval * SILENT_HEARTBEATS;
        let members = self.leader_state().into_iter();
        let members = members.flat_map(|state| state.progress.keys().copied());
        members
            .filter_map(|member| {
                let duration = self.silence(member, now)?;
                (duration > shortest).then_some(message::MemberSilence { member, duration })
            })
            .collect()
    }

    pub(super) fn record_silences(
        &mut self,
        leader: member::MemberId,
        silences: &[message::MemberSilence],
        now: core::MonotonicTime,
    ) {
        let members = self.membership.current().iter();
        let members = members.map(|member| member.profile.id);
        self.contacts.record_report(leader, members, silences, now);
    }

    /// Records the leader's durable index as its watermark: a leader never truncates its log within
    /// its term.
    fn record_leader_watermark(&mut self, leader: &core::MessageSender, commit: log::LogIndex) {
        let position = log::LogPosition {
            term: leader.term,
            index: leader.durable,
        };
        self.watermarks.acknowledge(leader.id, position, commit);
    }

    fn merge_watermarks(&mut self, watermarks: &[message::MemberWatermark]) {
        let own_id = self.own_id();
        for watermark in watermarks
            .iter()
            .filter(|watermark| watermark.member != own_id)
        {
            self.watermarks.merge(*watermark);
        }
    }

    /// Returns the index at which the leader should probe next, or `None` if the log contains the
    /// position or has compacted it.
    ///
    /// If the terms conflict, the index lies before all entries of the follower's term.
    fn mismatch_hint(&self, previous: log::LogPosition) -> Option<log::LogIndex> {
        if previous.index < self.log.base().index || self.log.matches(previous) {
            return None;
        }
        let last = self.log.last().index;
        if previous.index > last {
            return Some(last);
        }
        let first = self.log.first_index_of_term_at(previous.index);
        Some(first.previous().max(self.commit))
    }

    /// Appends a received entry, replacing a conflicting entry and all entries after it.
    fn store_entry(&mut self, entry: &log::LogEntry) {
        let index = entry.position.index;
        if index <= self.log.base().index || self.log.matches(entry.position) {
            return;
        }
        assert!(
            index > self.commit,
            "conflicting append request: entry {index} is committed and cannot be replaced"
        );
        self.log.truncate_from(index);
        self.membership.truncate_from(index);
        self.durable = self.durable.min(index.previous());
        self.membership.record(entry);
        self.output.entries.push(entry.clone());
        self.log.push(entry.clone());
    }

    fn send_append_response(
        &mut self,
        sender: &core::MessageSender,
        request: &message::AppendRequest,
        accepted: bool,
        matched: log::LogIndex,
    ) {
        let body = message::MessageBody::AppendResponse(message::AppendResponse {
            accepted,
            previous: request.previous.index,
            matched,
            probe: request.probe,
        });
        self.send_after_sync(sender, body);
    }
}
