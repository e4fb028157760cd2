//! Expiry and decay times of the replica table.

use std::time;

const DEFAULT_EXPIRY: time::Duration = time::Duration::from_secs(4);
const DEFAULT_REPORT_DECAY_TIME: time::Duration = time::Duration::from_millis(500);
const DEFAULT_FORGET_AFTER: time::Duration = time::Duration::from_mins(10);

/// Settings of the replica table.
#[derive(Debug, Clone)]
pub struct TableSettings {
    pub(super) expiry: time::Duration,
    pub(super) report_decay_time: time::Duration,
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
    pub fn with_report_decay_time(mut self, decay_time: time::Duration) -> Self {
        self.report_decay_time = decay_time;
        self
    }
}

impl Default for TableSettings {
    fn default() -> Self {
        Self {
            expiry: DEFAULT_EXPIRY,
            report_decay_time: DEFAULT_REPORT_DECAY_TIME,
            forget_after: DEFAULT_FORGET_AFTER,
        }
    }
}
