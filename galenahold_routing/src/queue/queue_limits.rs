//! Bounds of a queue.

use galenahold_domain::amount;

const DEFAULT_MOST_ITEMS: usize = 4_096;
const DEFAULT_MOST_BYTES: u64 = 64 << 20;

/// Bounds of a queue.
#[derive(Debug, Clone)]
pub struct QueueLimits {
    pub(super) most_items: usize,
    pub(super) most_bytes: amount::ByteCount,
}

impl QueueLimits {
    /// Returns the limits with another number of items.
    #[must_use]
    pub fn with_max_items(mut self, items: usize) -> Self {
        self.most_items = items;
        self
    }

    /// Returns the limits with another number of bytes.
    #[must_use]
    pub fn with_max_bytes(mut self, bytes: amount::ByteCount) -> Self {
        self.most_bytes = bytes;
        self
    }
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            most_items: DEFAULT_MOST_ITEMS,
            most_bytes: amount::ByteCount(DEFAULT_MOST_BYTES),
        }
    }
}
