//! Limits on the size of a queue.

use galenahold_domain::amount;

const DEFAULT_MAX_ITEMS: usize = 4_096;
const DEFAULT_MAX_BYTES: u64 = 64 << 20;

/// Maximum number of items in a queue, and of the bytes that they occupy.
#[derive(Debug, Clone)]
pub struct QueueLimits {
    pub(super) max_items: usize,
    pub(super) max_bytes: amount::ByteCount,
}

impl QueueLimits {
    /// Sets the maximum number of items.
    #[must_use]
    pub fn with_max_items(mut self, items: usize) -> Self {
        self.max_items = items;
        self
    }

    /// Sets the maximum number of bytes.
    #[must_use]
    pub fn with_max_bytes(mut self, bytes: amount::ByteCount) -> Self {
        self.max_bytes = bytes;
        self
    }
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            max_items: DEFAULT_MAX_ITEMS,
            max_bytes: amount::ByteCount(DEFAULT_MAX_BYTES),
        }
    }
}
