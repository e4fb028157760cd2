//! Settings of durable storage.

/// Limits of a data folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreSettings {
    /// Size in bytes at which a write-ahead log segment is closed and the next one is created.
    pub segment_bytes: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        const DEFAULT_SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
        Self {
            segment_bytes: DEFAULT_SEGMENT_BYTES,
        }
    }
}
