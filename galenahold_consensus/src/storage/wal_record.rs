//! [`WalRecord`].

use serde::{Deserialize, Serialize};

use crate::log;
use crate::message;
use crate::storage;

/// A record of the write-ahead log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum WalRecord {
    Start(storage::SegmentStart),
    HardState(log::HardState),
    /// Replaces the entry of its index and all after it.
    Entry(log::LogEntry),
    /// A snapshot has replaced the log.
    Reset(log::LogPosition),
    Marks(Vec<message::MemberWatermark>),
}

impl WalRecord {
    pub(super) fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("records have a representation in the codec")
    }
}
