//! Amounts that calls use at a server.

use crate::load;

/// The calls, prompt tokens and memory that an instance's calls use at a server, or those of all instances.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct UseAmounts {
    pub(super) running: u32,
    pub(super) unread_tokens: u32,
    pub(super) cache_tokens: u32,
}

impl UseAmounts {
    pub(super) fn of(used: &load::ServerUse) -> Self {
        Self {
            running: used.running,
            unread_tokens: used.unread_tokens,
            cache_tokens: used.cache_tokens,
        }
    }

    pub(super) fn is_zero(self) -> bool {
        self == Self::default()
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            unread_tokens: self.unread_tokens.saturating_add(other.unread_tokens),
            cache_tokens: self.cache_tokens.saturating_add(other.cache_tokens),
        }
    }
}
