//! Exclusive access to a data folder.

use std::fs;
use std::path;

use snafu::ResultExt;

use crate::storage;
use crate::storage::storage_error;

/// An exclusive lock on a data folder, released on drop.
#[derive(Debug)]
pub(super) struct FolderLock {
    _file: fs::File,
}

impl FolderLock {
    const FILE_NAME: &'static str = "lock";

    pub(super) fn acquire(folder: &path::Path) -> Result<Self, storage::StorageError> {
        let path = folder.join(Self::FILE_NAME);
        let file = fs::File::create(&path).context(storage_error::IoSnafu {
            action: "creating",
            path: &path,
        })?;
        match file.try_lock() {
            Ok(()) => Ok(Self { _file: file }),
            Err(fs::TryLockError::WouldBlock) => storage_error::LockedSnafu { path }.fail(),
            Err(fs::TryLockError::Error(source)) => Err(source).context(storage_error::IoSnafu {
                action: "locking",
                path,
            }),
        }
    }
}
