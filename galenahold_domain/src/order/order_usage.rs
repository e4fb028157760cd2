//! How much of the order ledger is in use.

use serde::Serialize;

/// How much of the order ledger is in use, by one team or by all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct OrderUsage {
    /// Records.
    pub records: usize,
    /// Bytes of kept answers.
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
