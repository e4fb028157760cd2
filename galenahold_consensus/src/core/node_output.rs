//! Actions that the step function requests from its driver.

use crate::core;
use crate::log;

/// Actions requested by the steps since the last output.
///
/// The driver performs them in this order: send `immediate`; make `install`, then `hard_state`,
/// then `entries` durable; send `after_sync`; call [`core::RaftNode::persisted`]; apply `committed`
/// to the state machine.
#[derive(Debug, Clone, Default)]
pub struct NodeOutput {
    /// Messages that can be sent before the writes of this output are durable.
    pub immediate: Vec<core::OutgoingMessage>,
    /// Snapshot received from the leader; it replaces the log and the state of the state machine.
    pub install: Option<log::SnapshotImage>,
    /// Term and vote to make durable.
    pub hard_state: Option<log::HardState>,
    /// Entries to make durable. An entry replaces a stored entry of the same index and all entries
    /// after it.
    pub entries: Vec<log::LogEntry>,
    /// Messages that may be sent only after the writes of this output are durable.
    pub after_sync: Vec<core::OutgoingMessage>,
    /// Newly committed entries in log order; each entry appears in one output only.
    pub committed: Vec<log::LogEntry>,
    /// Outcomes of read requests.
    pub reads: Vec<core::ReadOutcome>,
    /// Whether the member must stop permanently because its data folder is an older copy.
    pub retired: bool,
}

impl NodeOutput {
    /// Returns whether the output contains anything to make durable.
    #[must_use]
    pub fn needs_sync(&self) -> bool {
        self.install.is_some() || self.hard_state.is_some() || !self.entries.is_empty()
    }

    /// Returns whether the output requests no action.
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
