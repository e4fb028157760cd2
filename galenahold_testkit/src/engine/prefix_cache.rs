//! The cache of prompt prefixes.

use std::collections;

use sha2::Digest;

use super::block_key::BlockKey;
use super::cache_change::CacheChange;

/// Bytes of prompt text in one block.
const BLOCK_BYTES: usize = 64;

/// Returns the hashes of the whole blocks of a prompt; each covers all text before it.
#[must_use]
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut previous = 0_u64;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            let mut hasher = sha2::Sha256::new();
            hasher.update(previous.to_be_bytes());
            hasher.update(block);
            let digest = hasher.finalize();
            let mut hash = [0; 8];
            hash.copy_from_slice(&digest[..8]);
            previous = u64::from_be_bytes(hash);
            previous
        })
        .collect()
}

/// Keeps the blocks used last, up to a number.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    last_used: collections::HashMap<BlockKey, u64>,
    by_use: collections::BTreeMap<u64, BlockKey>,
    uses: u64,
}

impl PrefixCache {
    /// Makes an empty cache.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_used: collections::HashMap::new(),
            by_use: collections::BTreeMap::new(),
            uses: 0,
        }
    }

    /// Looks a prompt up and stores its blocks.
    pub(crate) fn admit(&mut self, model: &str, prompt: &str) -> CacheChange {
        let mut change = CacheChange::default();
        let mut prefix_held = true;
        for hash in block_hashes(prompt) {
            let key = BlockKey {
                model: model.to_owned(),
                hash,
            };
            let held = self.touch(key);
            prefix_held &= held;
            if prefix_held {
                change.cached_bytes += BLOCK_BYTES;
            }
            if !held {
                change.stored.push(hash);
            }
        }
        while self.last_used.len() > self.capacity {
            let Some((_, key)) = self.by_use.pop_first() else {
                break;
            };
            self.last_used.remove(&key);
            change.removed.push(key);
        }
        change
    }

    /// Drops all blocks of a model; tells whether there were any.
    pub(crate) fn clear(&mut self, model: &str) -> bool {
        let before = self.last_used.len();
        self.last_used.retain(|key, _| key.model != model);
        self.by_use.retain(|_, key| key.model != model);
        self.last_used.len() < before
    }

    /// Marks a block as used last; tells whether it was held.
    fn touch(&mut self, key: BlockKey) -> bool {
        self.uses += 1;
        let before = self.last_used.insert(key.clone(), self.uses);
        if let Some(use_number) = before {
            self.by_use.remove(&use_number);
        }
        self.by_use.insert(self.uses, key);
        before.is_some()
    }
}
