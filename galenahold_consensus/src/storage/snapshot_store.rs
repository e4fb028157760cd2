//! Reading and writing snapshot files.

use std::path;

use snafu::ResultExt;

use crate::log;
use crate::storage;
use crate::storage::folder_identity;
use crate::storage::storage_error;

const SNAPSHOT_PREFIX: &str = "snapshot-";

/// The snapshot files of a data folder.
#[derive(Debug, Clone)]
pub struct SnapshotStore<B> {
    backend: B,
    folder: path::PathBuf,
}

impl<B: storage::StorageBackend> SnapshotStore<B> {
    const PREFIX: &'static str = SNAPSHOT_PREFIX;
    const DRAFT_PREFIX: &'static str = "draft-";

    pub(super) fn new(backend: B, folder: &path::Path) -> Self {
        Self {
            backend,
            folder: folder.to_path_buf(),
        }
    }

    /// Writes a snapshot durably; older snapshots remain until [`SnapshotStore::purge`] is called.
    ///
    /// # Errors
    ///
    /// The file could not be made durable; the older snapshot remains valid.
    ///
    /// # Panics
    ///
    /// Never in practice: the snapshot's metadata is always serializable.
    pub fn save(&self, image: &log::SnapshotImage) -> Result<(), storage::StorageError> {
        let meta = rmp_serde::to_vec_named(&image.meta).expect("snapshot metadata is serializable");
        let mut bytes = Vec::with_capacity(image.data.len() + meta.len());
        storage::RecordCodec::encode(&meta, 0, &mut bytes);
        storage::RecordCodec::encode(&image.data, 0, &mut bytes);
        let name = file_name(image.meta.position.index);
        let draft = format!("{}{name}", Self::DRAFT_PREFIX);
        folder_identity::replace_file(&self.backend, &self.folder, &draft, &name, &bytes)
    }

    /// Reads the newest snapshot, or returns `None` if there is none.
    ///
    /// # Errors
    ///
    /// The newest snapshot is corrupt, of a newer version or unreadable.
    pub fn load(&self) -> Result<Option<log::SnapshotImage>, storage::StorageError> {
        let Some(name) = self.names(Self::PREFIX)?.pop() else {
            return Ok(None);
        };
        let path = self.folder.join(name);
        let bytes = self.backend.read(&path).context(storage_error::IoSnafu {
            action: "reading",
            path: &path,
        })?;
        let meta = read_record(&path, &bytes, 0)?;
        let data = read_record(&path, &bytes, meta.end)?;
        let Ok(decoded) = rmp_serde::from_slice(meta.payload) else {
            return storage_error::NewerSnafu {
                path,
                offset: 0_u64,
            }
            .fail();
        };
        Ok(Some(log::SnapshotImage {
            meta: decoded,
            data: bytes::Bytes::copy_from_slice(data.payload),
        }))
    }

    /// Removes the snapshots whose position is before the index.
    ///
    /// # Errors
    ///
    /// A file could not be removed.
    pub fn purge(&self, index: log::LogIndex) -> Result<(), storage::StorageError> {
        let kept = file_name(index);
        for name in self.names(Self::PREFIX)? {
            if name < kept {
                self.remove(&name)?;
            }
        }
        Ok(())
    }

    /// Removes temporary files left by an interrupted [`SnapshotStore::save`].
    pub(super) fn remove_drafts(&self) -> Result<(), storage::StorageError> {
        for name in self.names(Self::DRAFT_PREFIX)? {
            self.remove(&name)?;
        }
        Ok(())
    }

    fn remove(&self, name: &str) -> Result<(), storage::StorageError> {
        let path = self.folder.join(name);
        self.backend.remove(&path).context(storage_error::IoSnafu {
            action: "removing",
            path,
        })
    }

    fn names(&self, prefix: &str) -> Result<Vec<String>, storage::StorageError> {
        let mut names = self
            .backend
            .list(&self.folder)
            .context(storage_error::IoSnafu {
                action: "listing",
                path: &self.folder,
            })?;
        names.retain(|name| name.starts_with(prefix));
        names.sort();
        Ok(names)
    }
}

fn file_name(index: log::LogIndex) -> String {
    format!("{SNAPSHOT_PREFIX}{:020}", index.get())
}

fn read_record<'a>(
    path: &path::Path,
    bytes: &'a [u8],
    offset: usize,
) -> Result<storage::FramedRecord<'a>, storage::StorageError> {
    let offset_bytes = offset as u64;
    match storage::RecordCodec::decode(bytes, offset) {
        Ok(framed) => Ok(framed),
        Err(storage::RecordError::Newer) => storage_error::NewerSnafu {
            path,
            offset: offset_bytes,
        }
        .fail(),
        Err(storage::RecordError::Corrupt) => storage_error::CorruptSnafu {
            path,
            offset: offset_bytes,
            reason: "the snapshot is corrupt",
        }
        .fail(),
    }
}
