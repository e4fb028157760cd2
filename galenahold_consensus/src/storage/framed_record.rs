//! The result of decoding one record.

/// A decoded record that borrows its payload from the bytes of the file.
#[derive(Debug, Clone, Copy)]
pub(super) struct FramedRecord<'a> {
    pub(super) payload: &'a [u8],
    /// Number of bytes of the file that were durable before the record was written.
    pub(super) durable_length: u64,
    /// Offset of the first byte after the record.
    pub(super) end: usize,
}
