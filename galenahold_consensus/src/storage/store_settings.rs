//! [`StoreSettings`].

/// Limits of a data folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreSettings {
    /// Length at which a segment of the write-ahead log is closed, in bytes.
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
