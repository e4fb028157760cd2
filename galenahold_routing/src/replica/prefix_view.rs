//! A view of one remote prefix cache.

use std::collections;

/// Maximum number of blocks that are remembered; the oldest are dropped first.
const MAX_BLOCKS: usize = 65_536;

/// The blocks that are known to be in the prefix cache of one model at one backend server.
#[derive(Debug, Default)]
pub(super) struct PrefixView {
    blocks: collections::HashSet<u64>,
    order: collections::VecDeque<u64>,
}

impl PrefixView {
    pub(super) fn store(&mut self, block: u64) {
        if !self.blocks.insert(block) {
            return;
        }
        self.order.push_back(block);
        while self.order.len() > MAX_BLOCKS {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }

    pub(super) fn remove(&mut self, block: u64) {
        self.blocks.remove(&block);
    }

    pub(super) fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }

    /// Returns how many leading blocks are in the cache without a gap.
    pub(super) fn matched(&self, hashes: &[u64]) -> usize {
        hashes
            .iter()
            .take_while(|hash| self.blocks.contains(hash))
            .count()
    }
}
