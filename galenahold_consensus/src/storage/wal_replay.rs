//! State recovery from write-ahead log records.

use crate::log;
use crate::message;
use crate::storage;

/// The state that results from applying the records of a write-ahead log in order.
#[derive(Debug, Default)]
pub(super) struct WalReplay {
    pub(super) hard_state: log::HardState,
    pub(super) marks: Vec<message::MemberWatermark>,
    entries: Vec<log::LogEntry>,
}

impl WalReplay {
    /// Applies a record; returns false if an entry before it is missing.
    pub(super) fn apply(&mut self, record: storage::WalRecord) -> bool {
        match record {
            storage::WalRecord::Start(start) => {
                self.hard_state = start.hard_state;
                self.marks = start.marks;
            }
            storage::WalRecord::HardState(hard_state) => self.hard_state = hard_state,
            storage::WalRecord::Marks(marks) => self.marks = marks,
            storage::WalRecord::Reset(_) => self.entries.clear(),
            storage::WalRecord::Entry(entry) => return self.push(entry),
        }
        true
    }

    /// Takes the entries that follow a snapshot, or returns `None` if there is a gap after it.
    pub(super) fn log_suffix(&mut self, snapshot: log::LogPosition) -> Option<storage::LogSuffix> {
        let mut entries = std::mem::take(&mut self.entries);
        let first = entries.first().map(|entry| entry.position.index);
        if first.is_some_and(|first| first > snapshot.index.next()) {
            return None;
        }
        let superseded = is_superseded(&entries, snapshot);
        if superseded {
            entries.clear();
        }
        entries.retain(|entry| entry.position.index > snapshot.index);
        Some(storage::LogSuffix {
            entries,
            superseded,
        })
    }

    fn push(&mut self, entry: log::LogEntry) -> bool {
        let index = entry.position.index;
        self.entries.truncate(
            self.entries
                .partition_point(|held| held.position.index < index),
        );
        let follows = self
            .entries
            .last()
            .is_none_or(|last| last.position.index.next() == index);
        if follows {
            self.entries.push(entry);
        }
        follows
    }
}

/// Returns whether the log does not contain the snapshot's position.
///
/// Such a snapshot was received from a leader and supersedes the whole log.
fn is_superseded(entries: &[log::LogEntry], snapshot: log::LogPosition) -> bool {
    let Some(first) = entries.first() else {
        return false;
    };
    if first.position.index == snapshot.index.next() {
        return false;
    }
    !entries.iter().any(|entry| entry.position == snapshot)
}
