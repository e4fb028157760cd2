//! The data folder of a running member, open or closed after a failed write.

use crate::core;
use crate::storage;
use crate::storage::storage_error;

/// The data folder of a running member.
#[derive(Debug)]
pub enum MemberFolder<B: storage::StorageBackend> {
    /// The folder accepts writes.
    Open(storage::LogStore<B>),
    /// A write has failed; the folder must be opened again before the next one.
    Closed(storage::ClosedStore<B>),
}

impl<B: storage::StorageBackend> MemberFolder<B> {
    /// Returns the last known identity of the folder.
    #[must_use]
    pub fn identity(&self) -> &storage::FolderIdentity {
        match self {
            Self::Open(store) => store.identity(),
            Self::Closed(store) => store.identity(),
        }
    }

    /// Performs a write if the folder is open.
    ///
    /// # Errors
    ///
    /// The write failed, or the folder is closed.
    pub fn write(
        &mut self,
        operation: impl FnOnce(&mut storage::LogStore<B>) -> Result<(), storage::StorageError>,
    ) -> Result<(), storage::StorageError> {
        match self {
            Self::Open(store) => operation(store),
            Self::Closed(store) => storage_error::FailedSnafu {
                path: &store.folder,
            }
            .fail(),
        }
    }

    /// Closes the files of the folder and releases its lock.
    pub fn close(&mut self) {
        if let Self::Open(store) = self {
            *self = Self::Closed(store.to_closed());
        }
    }

    /// Opens a closed folder again and returns the state recovered from it.
    ///
    /// # Errors
    ///
    /// As for [`storage::ClosedStore::reopen`]; the folder then stays closed.
    pub fn reopen(&mut self) -> Result<core::RecoveredState, storage::StorageError> {
        self.close();
        let Self::Closed(store) = self else {
            unreachable!("the folder has just been closed");
        };
        let opened = store.reopen()?;
        *self = Self::Open(opened.store);
        Ok(opened.recovered)
    }
}
