//! The bounds of the order ledger.

use serde::{Deserialize, Serialize};

const HOUR_MS: u64 = 3_600_000;
const WINDOW_HOURS: u64 = 24;
const REMEMBERED_DAYS: u64 = 30;
const MAX_RECORDS: usize = 100_000;
const MAX_ANSWER_BYTES: usize = 65_536;
const MAX_TOTAL_BYTES: usize = 33_554_432;
const MAX_REMEMBERED: usize = 500_000;

/// The bounds of the order ledger. They are part of the replicated state: a ledger keeps those that
/// it was made with, also under a later version of the program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderLimits {
    /// How long the record of a finished order is kept at least, in milliseconds.
    pub window_ms: u64,
    /// How long the key of a dropped record is remembered at least, in milliseconds from its end.
    pub remembered_ms: u64,
    /// The most records.
    pub records: usize,
    /// The most bytes of one answer that are kept.
    pub answer_bytes: usize,
    /// The most bytes of all answers together that are kept.
    pub total_bytes: usize,
    /// The most keys of dropped records that are remembered.
    pub remembered: usize,
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self {
            window_ms: WINDOW_HOURS * HOUR_MS,
            remembered_ms: REMEMBERED_DAYS * WINDOW_HOURS * HOUR_MS,
            records: MAX_RECORDS,
            answer_bytes: MAX_ANSWER_BYTES,
            total_bytes: MAX_TOTAL_BYTES,
            remembered: MAX_REMEMBERED,
        }
    }
}
