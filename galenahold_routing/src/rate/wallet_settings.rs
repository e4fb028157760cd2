//! Settings of the entry side of rates.

use std::time;

const DEFAULT_CALL_INTERVAL: time::Duration = time::Duration::from_millis(100);
const DEFAULT_CALL_TIMEOUT: time::Duration = time::Duration::from_millis(300);
const DEFAULT_PREFETCH_HORIZON: time::Duration = time::Duration::from_millis(300);

/// Settings of the entry side of rates.
#[derive(Debug, Clone)]
pub struct WalletSettings {
    pub(super) call_interval: time::Duration,
    pub(super) call_timeout: time::Duration,
    pub(super) prefetch_horizon: time::Duration,
}

impl WalletSettings {
    /// Returns the settings with another interval between calls that no request waits for.
    #[must_use]
    pub fn with_call_interval(mut self, interval: time::Duration) -> Self {
        self.call_interval = interval;
        self
    }

    /// Returns the settings with another time after which a call counts as lost.
    #[must_use]
    pub fn with_call_timeout(mut self, timeout: time::Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Returns the settings with another time for whose expected spending tokens are held.
    #[must_use]
    pub fn with_prefetch_horizon(mut self, horizon: time::Duration) -> Self {
        self.prefetch_horizon = horizon;
        self
    }
}

impl Default for WalletSettings {
    fn default() -> Self {
        Self {
            call_interval: DEFAULT_CALL_INTERVAL,
            call_timeout: DEFAULT_CALL_TIMEOUT,
            prefetch_horizon: DEFAULT_PREFETCH_HORIZON,
        }
    }
}
