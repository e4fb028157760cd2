//! Memberships by log index, for membership changes that a new leader truncates.

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
