//! Expiry and decay times of the replica table.

use std::time;

const DEFAULT_EXPIRY: time::Duration = time::Duration::from_secs(4);
const DEFAULT_REPORT_MEMORY: time::Duration = time::Duration::from_millis(500);
const DEFAULT_FORGET_AFTER: time::Duration = time::Duration::from_mins(10);

/// Settings of the replica table.
#[derive(Debug, Clone)]
pub struct TableSettings {
    pub(super) expiry: time::Duration,
    pub(super) report_memory: time::Duration,
    pub(super) forget_after: time::Duration,
}

impl TableSettings {
    /// Sets the age at which an announcement expires.
    #[must_use]
    pub fn with_expiry(mut self, expiry: time::Duration) -> Self {
        self.expiry = expiry;
        self
    }

    /// Sets the time in which the weight of a load report decays to 37 %.
    #[must_use]
    pub fn with_report_memory(mut self, memory: time::Duration) -> Self {
        self.report_memory = memory;
        self
    }
}

impl Default for TableSettings {
    fn default() -> Self {
        Self {
            expiry: DEFAULT_EXPIRY,
            report_memory: DEFAULT_REPORT_MEMORY,
            forget_after: DEFAULT_FORGET_AFTER,
        }
    }
}
