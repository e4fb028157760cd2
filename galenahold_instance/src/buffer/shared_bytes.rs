//! Bytes with their share of a budget.

use crate::buffer;

/// Bytes that count against a budget until their last user drops them.
#[derive(Debug)]
pub(crate) struct SharedBytes {
    bytes: bytes::Bytes,
    _share: buffer::BufferShare,
}

impl SharedBytes {
    /// Binds the share to the bytes that it accounts for.
    pub(crate) fn bind(bytes: bytes::Bytes, share: buffer::BufferShare) -> bytes::Bytes {
        if share.is_free() {
            return bytes;
        }
        bytes::Bytes::from_owner(Self {
            bytes,
            _share: share,
        })
    }
}

impl AsRef<[u8]> for SharedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
