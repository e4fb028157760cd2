//! Identification of a call by a part of its prompt or by its whole content.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a part of a prompt that several calls may share, or one request with all that it asks.
///
/// Keys of requests have the highest bit set, those of parts don't, so that no part is taken for a
/// request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptKey(pub u64);

impl PromptKey {
    const REQUEST_BIT: u64 = 1 << 63;

    /// The bits of a request's key that tell whose request it is.
    const SOURCE_SHIFT: u32 = 48;

    /// Returns the key of the part with the given id.
    #[must_use]
    pub fn of_part(id: u64) -> Self {
        Self(id & !Self::REQUEST_BIT)
    }

    /// Returns the key of a request from a digest of its sender and one of its content.
    #[must_use]
    pub fn of_request(source: u64, content: u64) -> Self {
        let content_mask = (1 << Self::SOURCE_SHIFT) - 1;
        Self(Self::REQUEST_BIT | (source << Self::SOURCE_SHIFT) | (content & content_mask))
    }

    /// Returns whether the key identifies a request.
    #[must_use]
    pub fn is_request(self) -> bool {
        self.0 & Self::REQUEST_BIT != 0
    }

    /// Returns the sender of a request, the same for all of its requests.
    pub(super) fn source(self) -> u64 {
        self.0 >> Self::SOURCE_SHIFT
    }
}

impl fmt::Display for PromptKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}
