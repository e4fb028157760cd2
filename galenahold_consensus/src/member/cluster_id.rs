//! Identity of a consensus group.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Random identity of a consensus group, generated when the group is created.
///
/// It is displayed as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClusterId(u128);

impl ClusterId {
    /// Creates an identity from random bits.
    #[must_use]
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }
}

impl fmt::Display for ClusterId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
