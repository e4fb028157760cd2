//! What the calls of one entry instance use at a backend server.

/// What this instance's calls use at one start of a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnUse {
    /// Calls in flight.
    pub running: u32,
    /// Prompt tokens of the calls whose answer has not begun.
    pub unread_tokens: u32,
    /// Expected tokens in the server's memory for the calls in flight.
    pub cache_tokens: u32,
}

impl OwnUse {
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
