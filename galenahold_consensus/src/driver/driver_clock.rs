//! Monotonic time that includes suspension of the machine.

use std::time;

use nix::time as unix_time;

use crate::core;

/// The monotonic clock of a member, which keeps running while the machine is suspended.
///
/// A leader that resumes after a suspension must find its lease expired, so a clock that stops during
/// suspension, such as `CLOCK_MONOTONIC`, cannot be used.
#[derive(Debug, Clone, Copy)]
pub(super) struct DriverClock {
    origin: time::Duration,
}

impl DriverClock {
    pub(super) fn start() -> Self {
        Self {
            origin: time_since_boot(),
        }
    }

    pub(super) fn now(&self) -> core::MonotonicTime {
        time_since_boot().saturating_sub(self.origin).into()
    }
}

/// Returns the time since the machine booted, including the time for which it was suspended.
///
/// # Panics
///
/// The system has no `CLOCK_BOOTTIME`, which Linux has had since 2.6.39.
#[must_use]
pub fn time_since_boot() -> time::Duration {
    unix_time::clock_gettime(unix_time::ClockId::CLOCK_BOOTTIME)
        .expect("the system supports CLOCK_BOOTTIME")
        .into()
}
