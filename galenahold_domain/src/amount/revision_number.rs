//! Numbers the revisions of the configuration, in the order of the replicated log.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Numbers the revisions of the configuration, in the order of the replicated log.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RevisionNumber(pub u64);

impl RevisionNumber {
    /// The number before the first.
    pub const ZERO: Self = Self(0);

    /// Returns the number that follows.
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
