//! A moment by the clock that counts while the machine is suspended.

use std::time;

use galenahold_consensus::driver;

/// A moment by the clock that counts while the machine is suspended.
///
/// What was confirmed before a suspension must not seem fresh after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BootInstant(time::Duration);

impl BootInstant {
    /// Returns the present moment.
    pub(crate) fn now() -> Self {
        Self(driver::time_since_boot())
    }

    /// Returns the time since this moment.
    pub(crate) fn elapsed(self) -> time::Duration {
        driver::time_since_boot().saturating_sub(self.0)
    }

    /// Returns the moment that is `span` later.
    pub(crate) fn after(self, span: time::Duration) -> Self {
        Self(self.0 + span)
    }

    /// Returns the moment that was `span` earlier.
    pub(crate) fn before(self, span: time::Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}
