//! Digests a sequence of parts.

use sha2::{Digest, Sha256};

use crate::digest;

/// Digests a sequence of parts; each goes in with its length, so that no two sequences look alike.
#[derive(Debug, Default)]
pub(crate) struct ContentHasher {
    hasher: Sha256,
}

impl ContentHasher {
    /// Starts an empty sequence.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Takes in the next part.
    pub(crate) fn add_part(&mut self, bytes: &[u8]) {
        self.hasher.update((bytes.len() as u64).to_be_bytes());
        self.hasher.update(bytes);
    }

    /// Returns the digest of the sequence.
    pub(crate) fn finish(self) -> digest::ContentDigest {
        digest::ContentDigest::new(self.hasher.finalize().into())
    }
}
