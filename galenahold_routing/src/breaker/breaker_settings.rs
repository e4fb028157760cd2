//! Settings of the circuit breaker.

use std::time;

const DEFAULT_OPENS_AFTER: u32 = 3;
const DEFAULT_FIRST_PAUSE: time::Duration = time::Duration::from_millis(500);
const DEFAULT_LONGEST_PAUSE: time::Duration = time::Duration::from_secs(15);

/// Settings of the circuit breaker.
#[derive(Debug, Clone)]
pub struct BreakerSettings {
    pub(super) opens_after: u32,
    pub(super) first_pause: time::Duration,
    pub(super) longest_pause: time::Duration,
}

impl BreakerSettings {
    /// Returns the settings with another number of consecutive transport errors.
    #[must_use]
    pub fn with_opens_after(mut self, errors: u32) -> Self {
        self.opens_after = errors;
        self
    }

    /// Returns the settings with another pause before the first probe; it doubles with each failed
    /// one.
    #[must_use]
    pub fn with_first_pause(mut self, pause: time::Duration) -> Self {
        self.first_pause = pause;
        self
    }

    /// Returns the settings with another longest pause.
    #[must_use]
    pub fn with_longest_pause(mut self, pause: time::Duration) -> Self {
        self.longest_pause = pause;
        self
    }
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            opens_after: DEFAULT_OPENS_AFTER,
            first_pause: DEFAULT_FIRST_PAUSE,
            longest_pause: DEFAULT_LONGEST_PAUSE,
        }
    }
}
