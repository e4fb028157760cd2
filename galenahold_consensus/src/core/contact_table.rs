//! When each member was last in contact with a leader.

use std::collections;
use std::time;

use crate::core;
use crate::member;
use crate::message;

/// The last contact of each member with a leader, as far as this member knows.
///
/// A leader records the members that answer it, and tells its followers which ones do not. A new
/// leader therefore goes on measuring the silence of a member where the leader before it stopped. A
/// delayed report understates the silence.
#[derive(Debug, Clone, Default)]
pub(super) struct ContactTable {
    contacts: collections::BTreeMap<member::MemberId, core::MonotonicTime>,
    reporter: Option<ContactReporter>,
}

/// The leader that reported last.
#[derive(Debug, Clone, Copy)]
struct ContactReporter {
    id: member::MemberId,
    reported_at: core::MonotonicTime,
}

impl ContactTable {
    /// Returns when the member was last in contact with a leader, if that is known.
    pub(super) fn last_contact(&self, id: member::MemberId) -> Option<core::MonotonicTime> {
        self.contacts.get(&id).copied()
    }

    pub(super) fn record(&mut self, id: member::MemberId, now: core::MonotonicTime) {
        self.contacts.insert(id, now);
    }

    /// Replaces the table with a leader's report: only the listed members are silent.
    pub(super) fn record_report(
        &mut self,
        leader: member::MemberId,
        members: impl Iterator<Item = member::MemberId>,
        silences: &[message::MemberSilence],
        now: core::MonotonicTime,
    ) {
        let last_contact = |id: member::MemberId| {
            let silence = silences.iter().find(|silence| silence.member == id);
            now - silence.map_or(time::Duration::ZERO, |silence| silence.duration)
        };
        self.contacts = members.map(|id| (id, last_contact(id))).collect();
        self.contacts.insert(leader, now);
        self.reporter = Some(ContactReporter {
            id: leader,
            reported_at: now,
        });
    }

    /// Starts a term of this member as leader.
    ///
    /// Nobody measured the time without a leader: it counts only for the leader that was lost, and
    /// for members that were silent before.
    pub(super) fn begin_term(
        &mut self,
        members: impl Iterator<Item = member::MemberId>,
        now: core::MonotonicTime,
    ) {
        let reporter = self.reporter.take();
        let was_silent = |id: member::MemberId, last_contact: core::MonotonicTime| {
            reporter
                .is_some_and(|reporter| reporter.id == id || last_contact < reporter.reported_at)
        };
        for id in members {
            let last_contact = self.contacts.entry(id).or_insert(now);
            if !was_silent(id, *last_contact) {
                *last_contact = now;
            }
        }
    }
}
