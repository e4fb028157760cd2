//! A data folder that was closed after a failed write.

use std::path;

use crate::storage;

/// A data folder after a failed write: its files are closed and its lock is released, and it can be
/// opened again once the disk accepts writes.
#[derive(Debug)]
pub struct ClosedStore<B> {
    pub(super) backend: B,
    pub(super) folder: path::PathBuf,
    pub(super) settings: storage::StoreSettings,
    pub(super) identity: storage::FolderIdentity,
    pub(super) tail: storage::DurableTail,
}

impl<B: storage::StorageBackend> ClosedStore<B> {
    /// Returns the identity that the folder had when it was closed.
    #[must_use]
    pub fn identity(&self) -> &storage::FolderIdentity {
        &self.identity
    }

    /// Opens the folder again and recovers its state, as after a restart of the process.
    ///
    /// What was written after the last successful sync is removed first. The boot number rises.
    ///
    /// # Errors
    ///
    /// As for [`storage::LogStore::open`]; [`storage::StorageErrorKind::Io`] means that a later
    /// attempt can succeed. A folder that has lost its identity or durable records is corrupt.
    pub fn reopen(&self) -> Result<storage::OpenedStore<B>, storage::StorageError> {
        let lock = storage::FolderLock::acquire(&self.folder)?;
        let identity =
            storage::FolderIdentity::reopen(&self.backend, &self.folder, &self.identity)?;
        storage::space_probe::run(&self.backend, &self.folder)?;
        self.tail.restore(&self.backend, &self.folder)?;
        let backend = self.backend.clone();
        storage::LogStore::recover(backend, &self.folder, self.settings, identity, lock)
    }
}
