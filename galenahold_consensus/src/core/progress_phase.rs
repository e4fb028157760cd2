//! [`ProgressPhase`].

use std::collections;

use crate::core;
use crate::log;

/// How a leader feeds a member.
#[derive(Debug, Clone)]
pub enum ProgressPhase {
    /// Looks for the last matching entry, one message at a time.
    Probe {
        /// A message is under way.
        waiting: bool,
    },
    /// Streams entries; holds the last index of each message under way.
    Replicate(collections::VecDeque<log::LogIndex>),
    /// Sends a snapshot.
    Snapshot(core::SnapshotTransfer),
}
