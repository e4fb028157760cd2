//! Time of the local monotonic clock.

use std::ops;
use std::time;

use serde::{Deserialize, Serialize};

/// A reading of a process's monotonic clock in nanoseconds.
///
/// The origin differs between processes, so readings of different processes cannot be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// Creates a reading from the nanoseconds since the origin.
    #[must_use]
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Returns the nanoseconds since the origin.
    #[must_use]
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the time since an earlier reading, or zero if that reading is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl From<time::Duration> for MonotonicTime {
    fn from(since_origin: time::Duration) -> Self {
        Self(u64::try_from(since_origin.as_nanos()).unwrap_or(u64::MAX))
    }
}

impl ops::Sub<time::Duration> for MonotonicTime {
    type Output = Self;

    fn sub(self, duration: time::Duration) -> Self {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(nanos))
    }
}

impl ops::Add<time::Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, duration: time::Duration) -> Self {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanos))
    }
}
