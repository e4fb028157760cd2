//! Time on the boot clock, which includes the time for which the machine is suspended.

use std::time;

use galenahold_consensus::driver;

/// A point in time on the clock that keeps counting while the machine is suspended.
///
/// With another clock, a configuration confirmed before a suspension could seem fresh after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BootInstant(time::Duration);

impl BootInstant {
    /// Returns the current time.
    pub(crate) fn now() -> Self {
        Self(driver::time_since_boot())
    }

    /// Returns the time elapsed since this instant.
    pub(crate) fn elapsed(self) -> time::Duration {
        driver::time_since_boot().saturating_sub(self.0)
    }

    /// Returns the instant `span` after this one.
    pub(crate) fn after(self, span: time::Duration) -> Self {
        Self(self.0 + span)
    }

    /// Returns the instant `span` before this one, or the boot if that is later.
    pub(crate) fn before(self, span: time::Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}
