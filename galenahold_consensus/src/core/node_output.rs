//! [`NodeOutput`].

use crate::core;
use crate::log;

/// What the steps since the last output ask for, in the order in which it must be done.
///
/// Send `immediate`; make `install`, then `hard_state`, then `entries` durable; send `after_sync`;
/// tell the node with [`core::RaftNode::persisted`]; hand `committed` to the state machine.
#[derive(Debug, Clone, Default)]
pub struct NodeOutput {
    /// Messages that need not wait for durability.
    pub immediate: Vec<core::OutgoingMessage>,
    /// Snapshot that replaces the log and the state machine's state.
    pub install: Option<log::SnapshotImage>,
    /// Term and vote to make durable.
    pub hard_state: Option<log::HardState>,
    /// Entries to make durable. An entry replaces the one of its index and all after it.
    pub entries: Vec<log::LogEntry>,
    /// Messages that may leave only after all of the above is durable.
    pub after_sync: Vec<core::OutgoingMessage>,
    /// Entries that are committed, in order and each once.
    pub committed: Vec<log::LogEntry>,
    /// Answers to read requests.
    pub reads: Vec<core::ReadOutcome>,
    /// The data folder was found to be an older copy; the member must stop for good.
    pub retired: bool,
}

impl NodeOutput {
    /// Tells whether there is something to make durable.
    #[must_use]
    pub fn needs_sync(&self) -> bool {
        self.install.is_some() || self.hard_state.is_some() || !self.entries.is_empty()
    }

    /// Tells whether nothing is asked for.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.needs_sync()
            && self.immediate.is_empty()
            && self.after_sync.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && !self.retired
    }
}
