//! The end of the durable write-ahead log of a data folder whose last write failed.

use std::path;

use snafu::ResultExt;

use crate::storage;
use crate::storage::storage_error;

/// The last position at which the write-ahead log is known to be durable.
///
/// After a failed fsync the page cache can still show bytes that never reached the disk, and a later
/// fsync of the same file does not report them. Everything behind this position is therefore removed
/// before the folder is read again; none of it was acknowledged.
#[derive(Debug, Clone)]
pub(super) struct DurableTail {
    pub(super) path: path::PathBuf,
    pub(super) length_bytes: u64,
}

impl DurableTail {
    /// Removes everything that was written behind the tail.
    pub(super) fn restore<B: storage::StorageBackend>(
        &self,
        backend: &B,
        folder: &path::Path,
    ) -> Result<(), storage::StorageError> {
        self.remove_later_segments(backend, folder)?;
        let bytes = backend.read(&self.path).context(storage_error::IoSnafu {
            action: "reading",
            path: &self.path,
        })?;
        let length = usize::try_from(self.length_bytes).unwrap_or(usize::MAX);
        let Some(durable) = bytes.get(..length) else {
            return self.corrupt(bytes.len());
        };
        let mut reader = storage::SegmentReader::new(&self.path, durable);
        while reader.next()?.is_some() {}
        if reader.offset() != length {
            return self.corrupt(reader.offset());
        }
        if bytes.len() == length {
            return Ok(());
        }
        backend
            .truncate(&self.path, self.length_bytes)
            .context(storage_error::IoSnafu {
                action: "truncating",
                path: &self.path,
            })
    }

    /// Removes the segments behind the tail, the last one first, so that a crash leaves no gap.
    fn remove_later_segments<B: storage::StorageBackend>(
        &self,
        backend: &B,
        folder: &path::Path,
    ) -> Result<(), storage::StorageError> {
        let mut names = backend.list(folder).context(storage_error::IoSnafu {
            action: "listing",
            path: folder,
        })?;
        names.retain(|name| name.starts_with(storage::SegmentFile::<B::File>::NAME_PREFIX));
        names.sort();
        for name in names.iter().rev() {
            let path = folder.join(name);
            if path == self.path {
                return Ok(());
            }
            if path < self.path {
                break;
            }
            backend.remove(&path).context(storage_error::IoSnafu {
                action: "removing",
                path,
            })?;
        }
        self.corrupt(0)
    }

    fn corrupt(&self, offset: usize) -> Result<(), storage::StorageError> {
        storage_error::CorruptSnafu {
            path: &self.path,
            offset: offset as u64,
            reason: "a record that was durable before the failed write is missing or corrupt",
        }
        .fail()
    }
}
