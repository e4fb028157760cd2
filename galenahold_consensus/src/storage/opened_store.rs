//! [`OpenedStore`].

use crate::core;
use crate::storage;

/// An open data folder with what it holds.
#[derive(Debug)]
pub struct OpenedStore<B: storage::StorageBackend> {
    /// The folder.
    pub store: storage::LogStore<B>,
    /// Its content.
    pub recovered: core::RecoveredState,
}
