//! Record types of the write-ahead log.

use serde::{Deserialize, Serialize};

use crate::log;
use crate::message;
use crate::storage;

/// A record of the write-ahead log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum WalRecord {
    Start(storage::SegmentStart),
    HardState(log::HardState),
    /// Replaces the entry at its index and truncates the log after it.
    Entry(log::LogEntry),
    /// Discards the log, which a snapshot at this position has replaced.
    Reset(log::LogPosition),
    Marks(Vec<message::MemberWatermark>),
}

impl WalRecord {
    pub(super) fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("a record is serializable")
    }
}
