//! [`DriverClock`].

use std::time;

use nix::time as unix_time;

use crate::core;

/// The monotonic clock of a member, which also counts the time for which the machine is suspended.
///
/// A leader that wakes after a suspension must find its lease over, so the clock cannot be the one
/// that stands still meanwhile.
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

/// Returns the time since the machine started, which counts while the machine is suspended.
///
/// # Panics
///
/// The system has no such clock: Linux has had it since 2.6.39.
#[must_use]
pub fn time_since_boot() -> time::Duration {
    unix_time::clock_gettime(unix_time::ClockId::CLOCK_BOOTTIME)
        .expect("the system has a clock of the time since its start")
        .into()
}
