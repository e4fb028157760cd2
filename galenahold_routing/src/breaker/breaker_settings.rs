//! Thresholds and pauses of the circuit breaker.

use std::time;

const DEFAULT_ERROR_THRESHOLD: u32 = 3;
const DEFAULT_INITIAL_PAUSE: time::Duration = time::Duration::from_millis(500);
const DEFAULT_MAX_PAUSE: time::Duration = time::Duration::from_secs(15);

/// Settings of the circuit breaker.
#[derive(Debug, Clone)]
pub struct BreakerSettings {
    pub(super) error_threshold: u32,
    pub(super) initial_pause: time::Duration,
    pub(super) max_pause: time::Duration,
}

impl BreakerSettings {
    /// Sets the number of consecutive transport errors that open the circuit.
    #[must_use]
    pub fn with_error_threshold(mut self, errors: u32) -> Self {
        self.error_threshold = errors;
        self
    }

    /// Sets the pause before the first probe; each failed probe doubles the pause.
    #[must_use]
    pub fn with_initial_pause(mut self, pause: time::Duration) -> Self {
        self.initial_pause = pause;
        self
    }

    /// Sets the upper bound of the pause between probes.
    #[must_use]
    pub fn with_max_pause(mut self, pause: time::Duration) -> Self {
        self.max_pause = pause;
        self
    }
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            error_threshold: DEFAULT_ERROR_THRESHOLD,
            initial_pause: DEFAULT_INITIAL_PAUSE,
            max_pause: DEFAULT_MAX_PAUSE,
        }
    }
}
