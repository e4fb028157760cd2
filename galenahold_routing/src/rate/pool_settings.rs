//! Settings of the tokens that an instance holds.

use std::time;

const DEFAULT_CALL_INTERVAL: time::Duration = time::Duration::from_millis(100);
const DEFAULT_CALL_TIMEOUT: time::Duration = time::Duration::from_millis(300);
const DEFAULT_PREFETCH_HORIZON: time::Duration = time::Duration::from_millis(300);

/// Intervals and the prefetch horizon of an instance's calls for tokens.
#[derive(Debug, Clone)]
pub struct PoolSettings {
    pub(super) call_interval: time::Duration,
    pub(super) call_timeout: time::Duration,
    pub(super) prefetch_horizon: time::Duration,
}

impl PoolSettings {
    /// Sets the interval between calls while no request waits for tokens.
    #[must_use]
    pub fn with_call_interval(mut self, interval: time::Duration) -> Self {
        self.call_interval = interval;
        self
    }

    /// Sets the time after which a call without a reply counts as lost.
    #[must_use]
    pub fn with_call_timeout(mut self, timeout: time::Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Sets the time span for whose expected spending the instance holds tokens.
    #[must_use]
    pub fn with_prefetch_horizon(mut self, horizon: time::Duration) -> Self {
        self.prefetch_horizon = horizon;
        self
    }
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            call_interval: DEFAULT_CALL_INTERVAL,
            call_timeout: DEFAULT_CALL_TIMEOUT,
            prefetch_horizon: DEFAULT_PREFETCH_HORIZON,
        }
    }
}
