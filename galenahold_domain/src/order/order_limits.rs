//! The capacity and retention times of the order ledger.

use serde::{Deserialize, Serialize};

const HOUR_MS: u64 = 3_600_000;
const WINDOW_HOURS: u64 = 24;
const REMEMBERED_DAYS: u64 = 30;
const MAX_RECORDS: usize = 100_000;
const MAX_ANSWER_BYTES: usize = 65_536;
const MAX_TOTAL_BYTES: usize = 33_554_432;
const MAX_REMEMBERED: usize = 500_000;

/// The limits of the order ledger.
///
/// They are part of the replicated state: a ledger keeps the limits that it was created with, even
/// under a later version of the program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderLimits {
    /// The minimum time that the record of a finished order is kept, in milliseconds.
    pub window_ms: u64,
    /// The minimum time that the key of a dropped record is remembered, in milliseconds from the
    /// end of its order.
    pub remembered_ms: u64,
    /// The maximum number of records.
    pub records: usize,
    /// The maximum size of a kept answer, in bytes.
    pub answer_bytes: usize,
    /// The maximum total size of all kept answers, in bytes.
    pub total_bytes: usize,
    /// The maximum number of remembered keys of dropped records.
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
