//! [`RecordFlaw`].

/// Why there is no valid record at an offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordFlaw {
    /// The bytes end early or don't match their checksum.
    Damaged,
    /// The record is whole, but of a newer version.
    Newer,
}
