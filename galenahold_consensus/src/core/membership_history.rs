//! [`MembershipHistory`].

use crate::log;
use crate::member;

/// The memberships that the held log contains, so that truncation can bring back an earlier one.
#[derive(Debug, Clone)]
pub(super) struct MembershipHistory {
    base: member::MembershipList,
    steps: Vec<MembershipStep>,
}

#[derive(Debug, Clone)]
struct MembershipStep {
    index: log::LogIndex,
    list: member::MembershipList,
}

impl MembershipHistory {
    pub(super) fn new(base: member::MembershipList) -> Self {
        Self {
            base,
            steps: Vec::new(),
        }
    }

    pub(super) fn note(&mut self, entry: &log::LogEntry) {
        if let log::EntryPayload::Membership(list) = &entry.payload {
            self.steps.push(MembershipStep {
                index: entry.position.index,
                list: list.clone(),
            });
        }
    }

    pub(super) fn current(&self) -> &member::MembershipList {
        self.steps.last().map_or(&self.base, |step| &step.list)
    }

    pub(super) fn current_index(&self) -> log::LogIndex {
        self.steps
            .last()
            .map_or(log::LogIndex::ZERO, |step| step.index)
    }

    pub(super) fn at(&self, index: log::LogIndex) -> &member::MembershipList {
        self.steps
            .iter()
            .rev()
            .find(|step| step.index <= index)
            .map_or(&self.base, |step| &step.list)
    }

    pub(super) fn truncate_from(&mut self, index: log::LogIndex) {
        self.steps.retain(|step| step.index < index);
    }

    pub(super) fn compact_to(&mut self, index: log::LogIndex) {
        self.base = self.at(index).clone();
        self.steps.retain(|step| step.index > index);
    }
}
