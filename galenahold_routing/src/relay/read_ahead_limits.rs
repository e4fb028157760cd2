//! Bounds on the events that are held for callers.

/// The bounds on the bytes that are held for callers that have not read them yet.
#[derive(Debug, Clone, Copy)]
pub struct ReadAheadLimits {
    /// The bytes that one stream may hold.
    pub stream_bytes: usize,
    /// The bytes that all streams may hold together.
    pub total_bytes: usize,
}
