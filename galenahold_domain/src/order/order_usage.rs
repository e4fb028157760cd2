//! Counts the records and bytes of the order ledger.

use serde::Serialize;

/// The usage of the order ledger by one team or by all teams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct OrderUsage {
    /// The number of records.
    pub records: usize,
    /// The number of bytes in kept answers.
    pub bytes: usize,
}

impl OrderUsage {
    pub(crate) fn add(&mut self, bytes: usize) {
        self.records += 1;
        self.bytes += bytes;
    }

    pub(crate) fn remove(&mut self, bytes: usize) {
        self.records -= 1;
        self.bytes -= bytes;
    }
}
