//! Replication: feeding members, and taking in entries and acknowledgements.

use std::time;

use crate::core;
use crate::log;
use crate::member;
use crate::message;

/// Interval at which a leader tells its members what it knows of their durable state.
const MARKS_INTERVAL: time::Duration = time::Duration::from_secs(1);

impl core::RaftNode {
    /// Sends what the members' windows allow.
    pub(super) fn feed_members(&mut self, now: core::MonotonicTime) {
        for id in self.others() {
            self.feed_member(id, now);
        }
    }

    /// Sends each member a message, with entries or without, that it must answer.
    pub(super) fn send_heartbeats(&mut self, now: core::MonotonicTime) {
        let marks = self.marks_due(now);
        for id in self.others() {
            self.send_heartbeat(id, &marks, now);
        }
    }

    pub(super) fn receive_append(
        &mut self,
        sender: &core::MessageSender,
        request: &message::AppendRequest,
    ) {
        self.merge_marks(&request.marks);
        self.mark_leader(sender, request.commit);
        if let Some(hint) = self.mismatch(request.previous) {
            self.answer_append(sender, request, false, hint);
            return;
        }
        let matched =
            log::LogIndex::new(request.previous.index.get() + request.entries.len() as u64);
        for entry in &request.entries {
            self.store(entry);
        }
        self.commit_to(request.commit.min(matched));
        self.answer_append(sender, request, true, matched);
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
            progress.refuse(response.previous, response.matched);
            return;
        }
        let matched = response.matched.min(last);
        progress.accept(matched);
        let position = log::LogPosition {
            term,
            index: matched,
        };
        self.marks.acknowledge(id, position, self.commit);
        self.advance_commit();
    }

    pub(super) fn advance_commit(&mut self) {
        let own = (self.own_id(), self.durable);
        let Some(state) = self.leader_state() else {
            return;
        };
        let reached = state.quorum_value(self.membership.current(), own, |progress| {
            Some(progress.matched)
        });
        let Some(reached) = reached else {
            return;
        };
        let own_term = self.log.term_at(reached) == Some(self.hard_state.term);
        if reached > self.commit && own_term {
            self.commit_to(reached);
            self.answer_reads();
            self.leave_if_removed();
        }
    }

    fn others(&self) -> Vec<member::MemberId> {
        self.leader_state()
            .map(|state| state.progress.keys().copied().collect())
            .unwrap_or_default()
    }

    fn feed_member(&mut self, id: member::MemberId, now: core::MonotonicTime) {
        loop {
            let window = self.settings.append_window;
            let last = self.log.last().index;
            let Some(progress) = self.progress(id) else {
                return;
            };
            let open = match &progress.phase {
                core::ProgressPhase::Probe { waiting } => !waiting,
                core::ProgressPhase::Replicate(sent) => {
                    progress.next <= last && sent.len() < window
                }
                core::ProgressPhase::Snapshot(_) => {
                    self.feed_snapshot(id, now);
                    return;
                }
            };
            if !open {
                return;
            }
            if progress.next <= self.log.base().index {
                self.begin_snapshot(id);
            } else {
                self.send_entries(id, Vec::new(), now);
            }
        }
    }

    fn send_heartbeat(
        &mut self,
        id: member::MemberId,
        marks: &[message::MemberWatermark],
        now: core::MonotonicTime,
    ) {
        let base = self.log.base().index;
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let probe = state.stamp(now);
        let Some(progress) = state.progress.get_mut(&id) else {
            return;
        };
        if let core::ProgressPhase::Probe { waiting } = &mut progress.phase {
            *waiting = false;
        }
        let sends_snapshot = matches!(progress.phase, core::ProgressPhase::Snapshot(_));
        if !sends_snapshot && progress.next > base {
            self.send_entries(id, marks.to_vec(), now);
            return;
        }
        if !sends_snapshot {
            self.begin_snapshot(id);
        }
        self.send_prompt(id, message::MessageBody::Heartbeat { probe });
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
        let probe = state.stamp(now);
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
        let full =
            matches!(&progress.phase, core::ProgressPhase::Replicate(sent) if sent.len() >= window);
        let budget_entries = if full {
            Vec::new()
        } else {
            self.log.batch_from(progress.next, budget_bytes)
        };
        match &mut progress.phase {
            core::ProgressPhase::Probe { waiting } => *waiting = true,
            core::ProgressPhase::Replicate(sent) => {
                if let Some(entry) = budget_entries.last() {
                    progress.next = entry.position.index.next();
                    sent.push_back(entry.position.index);
                }
            }
            core::ProgressPhase::Snapshot(_) => return,
        }
        let body = message::MessageBody::AppendRequest(message::AppendRequest {
            previous,
            entries: budget_entries,
            commit: self.commit,
            probe,
            marks,
        });
        self.send_prompt(id, body);
    }

    /// Returns all marks, once an interval.
    fn marks_due(&mut self, now: core::MonotonicTime) -> Vec<message::MemberWatermark> {
        let Some(state) = self.leader_state_mut() else {
            return Vec::new();
        };
        if now < state.marks_at {
            return Vec::new();
        }
        state.marks_at = now + MARKS_INTERVAL;
        self.marks.iter().copied().collect()
    }

    /// Notes what the leader itself holds: it never truncates its log within its term.
    fn mark_leader(&mut self, leader: &core::MessageSender, commit: log::LogIndex) {
        let position = log::LogPosition {
            term: leader.term,
            index: leader.durable,
        };
        self.marks.acknowledge(leader.id, position, commit);
    }

    fn merge_marks(&mut self, marks: &[message::MemberWatermark]) {
        let own_id = self.own_id();
        for mark in marks.iter().filter(|mark| mark.member != own_id) {
            self.marks.merge(*mark);
        }
    }

    /// Returns where the leader should try next if the position is not in the log.
    fn mismatch(&self, previous: log::LogPosition) -> Option<log::LogIndex> {
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

    fn store(&mut self, entry: &log::LogEntry) {
        let index = entry.position.index;
        if index <= self.log.base().index || self.log.matches(entry.position) {
            return;
        }
        assert!(
            index > self.commit,
            "entry {index} is committed and must not be replaced"
        );
        self.log.truncate_from(index);
        self.membership.truncate_from(index);
        self.durable = self.durable.min(index.previous());
        self.membership.note(entry);
        self.output.entries.push(entry.clone());
        self.log.push(entry.clone());
    }

    fn answer_append(
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
