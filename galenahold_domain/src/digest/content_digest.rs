//! A SHA-256 digest and its shortened form.

use std::fmt;

use crate::digest;

const HASH_HALF_BYTES: usize = 8;

/// A SHA-256 digest; its text form is hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ContentDigest([u8; 32]);

impl ContentDigest {
    /// Creates a digest from the output of SHA-256.
    pub(crate) fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the digest of the parts, each hashed together with its length.
    pub(crate) fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = digest::ContentHasher::new();
        for part in parts {
            hasher.add_part(part);
        }
        hasher.finish()
    }

    /// Returns the first 128 bits of the digest.
    pub(crate) fn short_hash(self) -> digest::ShortHash {
        let (high, rest) = self.0.split_at(HASH_HALF_BYTES);
        digest::ShortHash::new(
            big_endian_u64(high),
            big_endian_u64(&rest[..HASH_HALF_BYTES]),
        )
    }
}

/// Decodes up to 8 bytes as a big-endian integer.
fn big_endian_u64(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |number, byte| (number << 8) | u64::from(*byte))
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}
