//! Chained hashes over the blocks of a prompt.

use sha2::Digest;

const BLOCK_BYTES: usize = 64;
const HASH_BYTES: usize = 8;

/// Hashes of a prompt's prefix blocks; each hash covers its block and all blocks before it.
///
/// The hash of a block is the first 8 bytes, read as big endian, of SHA-256 over the previous hash (8 bytes
/// in big endian, zero for the first block) and the next 64 bytes of text. A shorter remainder has no
/// hash.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixBlocks {
    hashes: Vec<u64>,
}

impl PrefixBlocks {
    /// Hashes at most `max_blocks` blocks of a prompt's text.
    #[must_use]
    pub fn of_text(text: &str, max_blocks: usize) -> Self {
        let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES).take(max_blocks);
        let hashes = blocks.scan(0, |last, block| {
            *last = hash_block(*last, block);
            Some(*last)
        });
        Self {
            hashes: hashes.collect(),
        }
    }

    /// Returns the hashes in the order of the blocks.
    #[must_use]
    pub fn hashes(&self) -> &[u64] {
        &self.hashes
    }
}

fn hash_block(last: u64, block: &[u8]) -> u64 {
    let mut hasher = sha2::Sha256::new();
    hasher.update(last.to_be_bytes());
    hasher.update(block);
    let digest = hasher.finalize();
    let mut first = [0; HASH_BYTES];
    first.copy_from_slice(&digest[..HASH_BYTES]);
    u64::from_be_bytes(first)
}
