//! What a prompt changed in the prefix cache.

use super::block_key::BlockKey;

/// What a prompt found in the cache and changed there.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct CacheChange {
    /// Prompt bytes that were cached.
    pub(crate) cached_bytes: usize,
    /// Blocks stored.
    pub(crate) stored: Vec<u64>,
    /// Blocks that made room, with their models.
    pub(crate) removed: Vec<BlockKey>,
}
