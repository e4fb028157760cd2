//! Failures of decoding one record.

/// Reason why there is no valid record at an offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordError {
    /// The record is truncated, has no magic number or does not match its checksum.
    Corrupt,
    /// The record is intact, but has a newer format version.
    Newer,
}
