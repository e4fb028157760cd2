//! Replication progress of one member, as the leader tracks it.

use crate::core;
use crate::log;
use crate::message;

/// A leader's record of another member's log and of its last responses.
#[derive(Debug, Clone)]
pub struct MemberProgress {
    /// Highest index known to match the leader's log and to be durable on the member
    /// (`matchIndex`).
    pub matched: log::LogIndex,
    /// Next index to send (`nextIndex`).
    pub next: log::LogIndex,
    /// How entries are currently sent to the member.
    pub phase: core::ProgressPhase,
    /// Latest probe stamp that the member echoed.
    pub last_echo: Option<message::ProbeStamp>,
    /// When the member last responded; initially the start of the leader's term.
    pub last_contact: core::MonotonicTime,
    /// When the member last announced that it stops.
    pub leaving_since: Option<core::MonotonicTime>,
}

impl MemberProgress {
    pub(super) fn new(last: log::LogIndex, now: core::MonotonicTime) -> Self {
        Self {
            matched: log::LogIndex::ZERO,
            next: last.next(),
            phase: core::ProgressPhase::Probe { waiting: false },
            last_echo: None,
            last_contact: now,
            leaving_since: None,
        }
    }

    pub(super) fn record_contact(&mut self, probe: message::ProbeStamp, now: core::MonotonicTime) {
        self.last_contact = now;
        if self
            .last_echo
            .is_none_or(|last_echo| last_echo.sequence < probe.sequence)
        {
            self.last_echo = Some(probe);
        }
    }

    /// Records that all entries up to the index match and are durable on the member.
    pub(super) fn record_match(&mut self, matched: log::LogIndex) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched.next());
        match &mut self.phase {
            core::ProgressPhase::Replicate(window) => {
                while window.front().is_some_and(|last| *last <= matched) {
                    window.pop_front();
                }
            }
            core::ProgressPhase::Probe { .. } => self.start_replicating(),
            core::ProgressPhase::Snapshot(transfer) if transfer.index <= self.matched => {
                self.start_replicating();
            }
            core::ProgressPhase::Snapshot(_) => {}
        }
    }

    /// Records that the member does not have the entry at `previous`, and probes from `hint`.
    pub(super) fn record_mismatch(&mut self, previous: log::LogIndex, hint: log::LogIndex) {
        let stale = previous <= self.matched || previous >= self.next;
        if stale || matches!(self.phase, core::ProgressPhase::Snapshot(_)) {
            return;
        }
        self.next = hint.min(previous.previous()).max(self.matched).next();
        self.phase = core::ProgressPhase::Probe { waiting: false };
    }

    /// Starts to pipeline entries after the last matching one.
    fn start_replicating(&mut self) {
        self.next = self.matched.next();
        self.phase = core::ProgressPhase::Replicate(std::collections::VecDeque::new());
    }
}
