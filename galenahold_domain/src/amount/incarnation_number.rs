//! The number that distinguishes restarts of a process.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of one start of a process; a later start under the same name has a greater number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct IncarnationNumber(pub u64);

impl IncarnationNumber {
    /// Zero, which precedes the first incarnation.
    pub const ZERO: Self = Self(0);

    /// Returns the next number.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for IncarnationNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
