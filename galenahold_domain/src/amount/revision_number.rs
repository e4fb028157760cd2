//! The number of a revision of the configuration.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of a revision of the configuration, in the order of the replicated log.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RevisionNumber(pub u64);

impl RevisionNumber {
    /// Zero, which precedes the first revision.
    pub const ZERO: Self = Self(0);

    /// Returns the next number.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for RevisionNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
