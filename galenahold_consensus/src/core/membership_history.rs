//! Memberships by log index, for membership changes that a new leader truncates.

use std::iter;

use crate::log;
use crate::member;

/// All memberships that the log in memory contains.
///
/// A membership is in force as soon as its entry is in the log. If the entry is truncated, the
/// previous membership is restored from here.
#[derive(Debug, Clone)]
pub(super) struct MembershipHistory {
    base: member::MembershipList,
    changes: Vec<RecordedMembership>,
}

#[derive(Debug, Clone)]
struct RecordedMembership {
    index: log::LogIndex,
    list: member::MembershipList,
}

impl MembershipHistory {
    pub(super) fn new(base: member::MembershipList) -> Self {
        Self {
            base,
            changes: Vec::new(),
        }
    }

    pub(super) fn record(&mut self, entry: &log::LogEntry) {
        if let log::EntryPayload::Membership(list) = &entry.payload {
            self.changes.push(RecordedMembership {
                index: entry.position.index,
                list: list.clone(),
            });
        }
    }

    pub(super) fn current(&self) -> &member::MembershipList {
        self.changes
            .last()
            .map_or(&self.base, |change| &change.list)
    }

    /// Returns the memberships whose quorums count while entries up to `commit` are known to be
    /// committed: the last one, and the one before it until the last one is committed.
    ///
    /// A leader proposes a change only after the change before it is committed, so that no earlier
    /// membership can be in force.
    pub(super) fn in_force(
        &self,
        commit: log::LogIndex,
    ) -> impl Iterator<Item = &member::MembershipList> {
        let previous = (self.current_index() > commit).then(|| self.previous());
        iter::once(self.current()).chain(previous)
    }

    /// Returns the latest record of a current or former member.
    pub(super) fn find(&self, id: member::MemberId) -> Option<&member::GroupMember> {
        let lists = self.changes.iter().rev().map(|change| &change.list);
        lists
            .chain(iter::once(&self.base))
            .find_map(|list| list.get(id))
    }

    /// Returns whether the last entry repeats the membership before it, which shows every member
    /// that has this entry that the membership is committed.
    pub(super) fn is_confirmed(&self) -> bool {
        self.changes.is_empty() || self.current() == self.previous()
    }

    /// Returns the membership that the current one replaces, until the latter is known to be committed
    /// and confirmed.
    pub(super) fn replaced(&self, commit: log::LogIndex) -> Option<&member::MembershipList> {
        if self.current_index() <= commit && self.is_confirmed() {
            return None;
        }
        let earlier = self.changes.iter().rev().map(|change| &change.list);
        earlier
            .chain(iter::once(&self.base))
            .find(|list| *list != self.current())
    }

    fn previous(&self) -> &member::MembershipList {
        self.changes
            .iter()
            .rev()
            .nth(1)
            .map_or(&self.base, |change| &change.list)
    }

    pub(super) fn current_index(&self) -> log::LogIndex {
        self.changes
            .last()
            .map_or(log::LogIndex::ZERO, |change| change.index)
    }

    pub(super) fn at(&self, index: log::LogIndex) -> &member::MembershipList {
        self.changes
            .iter()
            .rev()
            .find(|change| change.index <= index)
            .map_or(&self.base, |change| &change.list)
    }

    pub(super) fn truncate_from(&mut self, index: log::LogIndex) {
        self.changes.retain(|change| change.index < index);
    }

    pub(super) fn compact_to(&mut self, index: log::LogIndex) {
        self.base = self.at(index).clone();
        self.changes.retain(|change| change.index > index);
    }
}
