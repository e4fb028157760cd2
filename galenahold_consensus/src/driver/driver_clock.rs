//! [`DriverClock`].

use std::time;

use crate::core;

/// The monotonic clock of a member.
#[derive(Debug, Clone, Copy)]
pub(super) struct DriverClock {
    origin: time::Instant,
}

impl DriverClock {
    pub(super) fn start() -> Self {
        Self {
            origin: time::Instant::now(),
        }
    }

    pub(super) fn now(&self) -> core::MonotonicTime {
        self.origin.elapsed().into()
    }
}
