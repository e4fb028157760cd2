//! Appending to the write-ahead log.

use std::path;

use snafu::ResultExt;

use crate::log;
use crate::storage;
use crate::storage::storage_error;

/// The open segment of the write-ahead log, which receives new records.
#[derive(Debug)]
pub(super) struct SegmentFile<F> {
    path: path::PathBuf,
    file: F,
    length_bytes: u64,
    pub(super) last_index: log::LogIndex,
}

impl<F: storage::StorageFile> SegmentFile<F> {
    pub(super) const NAME_PREFIX: &'static str = "wal-";

    /// Creates a segment and makes its first record and its directory entry durable.
    pub(super) fn create<B>(
        backend: &B,
        folder: &path::Path,
        start: storage::SegmentStart,
    ) -> Result<Self, storage::StorageError>
    where
        B: storage::StorageBackend<File = F>,
    {
        let path = folder.join(format!("{}{:020}", Self::NAME_PREFIX, start.sequence));
        let file = backend.create(&path).context(storage_error::IoSnafu {
            action: "creating",
            path: &path,
        })?;
        let mut segment = Self {
            path,
            file,
            length_bytes: 0,
            last_index: log::LogIndex::ZERO,
        };
        segment.append(&[storage::WalRecord::Start(start)])?;
        backend
            .sync_folder(folder)
            .context(storage_error::IoSnafu {
                action: "syncing",
                path: folder,
            })?;
        Ok(segment)
    }

    pub(super) fn path(&self) -> &path::Path {
        &self.path
    }

    pub(super) fn length_bytes(&self) -> u64 {
        self.length_bytes
    }

    /// Appends records and makes them durable with one fsync.
    pub(super) fn append(
        &mut self,
        records: &[storage::WalRecord],
    ) -> Result<(), storage::StorageError> {
        let mut buffer = Vec::new();
        for record in records {
            storage::RecordCodec::encode(&record.encode(), self.length_bytes, &mut buffer);
            if let storage::WalRecord::Entry(entry) = record {
                self.last_index = self.last_index.max(entry.position.index);
            }
        }
        self.file.append(&buffer).context(storage_error::IoSnafu {
            action: "writing",
            path: &self.path,
        })?;
        self.file.sync().context(storage_error::IoSnafu {
            action: "syncing",
            path: &self.path,
        })?;
        self.length_bytes += buffer.len() as u64;
        Ok(())
    }
}
