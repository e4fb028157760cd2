//! An incremental hasher for a sequence of byte strings.

use sha2::{Digest, Sha256};

use crate::digest;

/// Computes the digest of a sequence of parts.
///
/// The length of each part is hashed before its bytes, so that sequences that differ only in where
/// their parts end have different digests.
#[derive(Debug, Default)]
pub(crate) struct ContentHasher {
    hasher: Sha256,
}

impl ContentHasher {
    /// Creates a hasher for an empty sequence.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Adds the next part.
    pub(crate) fn add_part(&mut self, bytes: &[u8]) {
        self.hasher.update((bytes.len() as u64).to_be_bytes());
        self.hasher.update(bytes);
    }

    /// Returns the digest of the sequence.
    pub(crate) fn finish(self) -> digest::ContentDigest {
        digest::ContentDigest::new(self.hasher.finalize().into())
    }
}
