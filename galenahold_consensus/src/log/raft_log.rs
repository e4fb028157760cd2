//! [`RaftLog`].

use std::collections;

use crate::log;

/// The part of the log that is held in memory: the entries after a base position.
#[derive(Debug, Clone, Default)]
pub struct RaftLog {
    base: log::LogPosition,
    entries: collections::VecDeque<log::LogEntry>,
}

impl RaftLog {
    /// Makes a log whose entries follow `base` without a gap.
    #[must_use]
    pub fn new(base: log::LogPosition, entries: Vec<log::LogEntry>) -> Self {
        Self {
            base,
            entries: entries.into(),
        }
    }

    /// Position before the first held entry.
    #[must_use]
    pub fn base(&self) -> log::LogPosition {
        self.base
    }

    /// Position of the last entry.
    #[must_use]
    pub fn last(&self) -> log::LogPosition {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// Number of entries held in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no entry is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry at an index, where it is held.
    #[must_use]
    pub fn get(&self, index: log::LogIndex) -> Option<&log::LogEntry> {
        self.entries.get(self.offset(index)?)
    }

    /// Returns the term at an index, also for the base itself.
    #[must_use]
    pub fn term_at(&self, index: log::LogIndex) -> Option<log::Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Tells whether the log holds this very position.
    #[must_use]
    pub fn matches(&self, position: log::LogPosition) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    /// Appends an entry after the last one.
    pub fn push(&mut self, entry: log::LogEntry) {
        debug_assert_eq!(entry.position.index, self.last().index.next());
        self.entries.push_back(entry);
    }

    /// Drops the entry at the index and all after it.
    pub fn truncate_from(&mut self, index: log::LogIndex) {
        if let Some(offset) = self.offset(index) {
            self.entries.truncate(offset);
        }
    }

    /// Drops the entries up to and including the index.
    pub fn compact_to(&mut self, index: log::LogIndex) {
        while let Some(entry) = self.entries.front() {
            if entry.position.index > index {
                return;
            }
            self.base = entry.position;
            self.entries.pop_front();
        }
    }

    /// Drops everything and starts anew after a position.
    pub fn reset(&mut self, base: log::LogPosition) {
        self.base = base;
        self.entries.clear();
    }

    /// Copies entries from an index on, until the byte budget is used up; at least one.
    #[must_use]
    pub fn batch_from(&self, index: log::LogIndex, budget_bytes: usize) -> Vec<log::LogEntry> {
        let Some(offset) = self.offset(index) else {
            return Vec::new();
        };
        let mut used_bytes = 0;
        let mut batch = Vec::new();
        for entry in self.entries.range(offset.min(self.entries.len())..) {
            used_bytes += entry.size_bytes();
            if used_bytes > budget_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Returns the first held index of the term that stands at an index.
    #[must_use]
    pub fn first_index_of_term_at(&self, index: log::LogIndex) -> log::LogIndex {
        let term = self.term_at(index);
        let mut first_index = index;
        while first_index > self.base.index.next() && self.term_at(first_index.previous()) == term {
            first_index = first_index.previous();
        }
        first_index
    }

    fn offset(&self, index: log::LogIndex) -> Option<usize> {
        let distance = index.get().checked_sub(self.base.index.get() + 1)?;
        usize::try_from(distance).ok()
    }
}
