//! Replication modes of a member.

use std::collections;

use crate::core;
use crate::log;

/// Mode in which a leader replicates to a member.
#[derive(Debug, Clone)]
pub enum ProgressPhase {
    /// Searches for the last matching entry with one request at a time.
    Probe {
        /// Whether a request is unanswered.
        waiting: bool,
    },
    /// Pipelines entries; holds the last index of each unacknowledged request.
    Replicate(collections::VecDeque<log::LogIndex>),
    /// Sends a snapshot, as the entries that the member needs are no longer in memory.
    Snapshot(core::SnapshotTransfer),
}
