//! [`RecordError`].

/// Why there is no valid record at an offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordError {
    /// The bytes end early or don't match their checksum.
    Corrupt,
    /// The record is whole, but of a newer version.
    Newer,
}
