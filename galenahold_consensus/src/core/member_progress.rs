//! [`MemberProgress`].

use crate::core;
use crate::log;
use crate::message;

/// What a leader knows of one other member.
#[derive(Debug, Clone)]
pub struct MemberProgress {
    /// Last index known to match and to be durable there.
    pub matched: log::LogIndex,
    /// Next index to send.
    pub next: log::LogIndex,
    /// How it is fed.
    pub phase: core::ProgressPhase,
    /// Latest stamp that it echoed.
    pub last_echo: Option<message::ProbeStamp>,
    /// When it was last heard of; at first the start of the leader's term.
    pub last_contact: core::MonotonicTime,
}

impl MemberProgress {
    pub(super) fn new(last: log::LogIndex, now: core::MonotonicTime) -> Self {
        Self {
            matched: log::LogIndex::ZERO,
            next: last.next(),
            phase: core::ProgressPhase::Probe { waiting: false },
            last_echo: None,
            last_contact: now,
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

    /// Takes in that all up to the index is durable there.
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

    /// Takes in that the entry before the sent ones is missing there.
    pub(super) fn record_mismatch(&mut self, previous: log::LogIndex, hint: log::LogIndex) {
        let stale = previous <= self.matched || previous >= self.next;
        if stale || matches!(self.phase, core::ProgressPhase::Snapshot(_)) {
            return;
        }
        self.next = hint.min(previous.previous()).max(self.matched).next();
        self.phase = core::ProgressPhase::Probe { waiting: false };
    }

    fn start_replicating(&mut self) {
        self.next = self.matched.next();
        self.phase = core::ProgressPhase::Replicate(std::collections::VecDeque::new());
    }
}
