//! [`FramedRecord`].

/// A record within the bytes of a file.
#[derive(Debug, Clone, Copy)]
pub(super) struct FramedRecord<'a> {
    pub(super) payload: &'a [u8],
    /// Length of the file that was durable before the record was written, in bytes.
    pub(super) durable_length: u64,
    /// Offset behind the record.
    pub(super) end: usize,
}
