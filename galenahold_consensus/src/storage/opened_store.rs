//! The result of opening a data folder.

use crate::core;
use crate::storage;

/// An open data folder and the state recovered from it.
#[derive(Debug)]
pub struct OpenedStore<B: storage::StorageBackend> {
    /// The open folder.
    pub store: storage::LogStore<B>,
    /// Raft state recovered from the folder.
    pub recovered: core::RecoveredState,
}
