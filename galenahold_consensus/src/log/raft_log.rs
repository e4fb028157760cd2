//! The entries that a member keeps in memory for replication.

use std::collections;

use crate::log;

/// The part of the log in memory: the entries after a base position.
#[derive(Debug, Clone, Default)]
pub struct RaftLog {
    base: log::LogPosition,
    entries: collections::VecDeque<log::LogEntry>,
}

impl RaftLog {
    /// Creates a log whose entries follow `base` without a gap.
    #[must_use]
    pub fn new(base: log::LogPosition, entries: Vec<log::LogEntry>) -> Self {
        Self {
            base,
            entries: entries.into(),
        }
    }

    /// Returns the position before the first entry in memory.
    #[must_use]
    pub fn base(&self) -> log::LogPosition {
        self.base
    }

    /// Returns the position of the last entry, or the base if the log is empty.
    #[must_use]
    pub fn last(&self) -> log::LogPosition {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// Returns the number of entries in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entries are in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry at an index, or `None` if it is not in memory.
    #[must_use]
    pub fn get(&self, index: log::LogIndex) -> Option<&log::LogEntry> {
        self.entries.get(self.offset(index)?)
    }

    /// Returns the term at an index, which may also be that of the base.
    #[must_use]
    pub fn term_at(&self, index: log::LogIndex) -> Option<log::Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Returns whether the entry at the position's index has the position's term.
    #[must_use]
    pub fn matches(&self, position: log::LogPosition) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    /// Appends an entry, whose index must follow the last one.
    pub fn push(&mut self, entry: log::LogEntry) {
        debug_assert_eq!(entry.position.index, self.last().index.next());
        self.entries.push_back(entry);
    }

    /// Removes the entry at the index and all entries after it.
    pub fn truncate_from(&mut self, index: log::LogIndex) {
        if let Some(offset) = self.offset(index) {
            self.entries.truncate(offset);
        }
    }

    /// Removes the entries up to and including the index and moves the base there.
    pub fn compact_to(&mut self, index: log::LogIndex) {
        while let Some(entry) = self.entries.front() {
            if entry.position.index > index {
                return;
            }
            self.base = entry.position;
            self.entries.pop_front();
        }
    }

    /// Removes all entries and sets the base.
    pub fn reset(&mut self, base: log::LogPosition) {
        self.base = base;
        self.entries.clear();
    }

    /// Copies entries from an index on, up to the byte budget. A first entry is copied even if it
    /// exceeds the budget.
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

    /// Returns the first index in memory with the same term as the entry at the index.
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
