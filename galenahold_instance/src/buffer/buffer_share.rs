//! The memory of one message.

use crate::buffer;

/// The bytes that a message may hold without a part of the budget, so that small messages are not
/// affected by large ones.
const ALLOWANCE_BYTES: usize = 16 * 1_024;

/// The bytes that one message holds of a budget; dropping the share gives them back.
#[derive(Debug)]
pub(crate) struct BufferShare {
    budget: buffer::BufferBudget,
    held_bytes: usize,
}

impl BufferShare {
    pub(super) fn new(budget: buffer::BufferBudget) -> Self {
        Self {
            budget,
            held_bytes: 0,
        }
    }

    /// Adds bytes that arrived; returns `false` if the budget is used up.
    #[must_use]
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let grown = self.held_bytes + bytes;
        let fits = self.budget.take(charged(grown) - charged(self.held_bytes));
        if fits {
            self.held_bytes = grown;
        }
        fits
    }

    /// Returns whether the message holds no part of the budget.
    pub(super) fn is_free(&self) -> bool {
        charged(self.held_bytes) == 0
    }

    /// Moves held bytes to a share of their own.
    pub(crate) fn split(&mut self, bytes: usize) -> Self {
        let moved = bytes.min(self.held_bytes);
        self.give_back(moved);
        // Each share has its own allowance, so that the parts never need more than the whole.
        let mut part = self.budget.share();
        if self.budget.take(charged(moved)) {
            part.held_bytes = moved;
        }
        part
    }

    /// Gives back bytes that the message no longer holds.
    fn give_back(&mut self, bytes: usize) {
        let left = self.held_bytes - bytes;
        self.budget
            .give_back(charged(self.held_bytes) - charged(left));
        self.held_bytes = left;
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.give_back(self.held_bytes);
    }
}

/// Returns how many bytes of a message count against the budget.
fn charged(held_bytes: usize) -> usize {
    held_bytes.saturating_sub(ALLOWANCE_BYTES)
}
