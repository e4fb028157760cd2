//! [`MemberId`].

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identity of one data folder, drawn at random when the folder is created.
///
/// It is shown as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(u128);

impl MemberId {
    /// Wraps random bits.
    #[must_use]
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
