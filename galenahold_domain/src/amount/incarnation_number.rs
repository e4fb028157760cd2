//! Tells one start of a process from an earlier one under the same name.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Tells one start of a process from an earlier one under the same name.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct IncarnationNumber(pub u64);

impl IncarnationNumber {
    /// The number before the first.
    pub const ZERO: Self = Self(0);

    /// Returns the number that follows.
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
