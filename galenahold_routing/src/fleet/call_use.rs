//! What calls use at a backend server.

/// What calls use at one start of a backend server: those of this instance, or of all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct CallUse {
    /// Calls in flight.
    pub(super) running: u32,
    /// Prompt tokens of the calls whose answer has not begun.
    pub(super) unread_tokens: u32,
    /// Expected tokens in the server's memory for the calls in flight.
    pub(super) cache_tokens: u32,
}

impl CallUse {
    pub(super) fn add(&mut self, other: Self) {
        self.running = self.running.saturating_add(other.running);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.cache_tokens = self.cache_tokens.saturating_add(other.cache_tokens);
    }

    pub(super) fn subtract(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.cache_tokens = self.cache_tokens.saturating_sub(other.cache_tokens);
    }
}
