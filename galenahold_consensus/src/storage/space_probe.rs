//! A check whether a data folder accepts writes.

use std::path;

use snafu::ResultExt;

use crate::storage;
use crate::storage::StorageFile;
use crate::storage::storage_error;

const FILE_NAME: &str = "space-probe";

/// Space that a full disk must have again. Opening the folder takes less than 1 KiB, so that without
/// this reserve the member would resume and fail again with its first larger append.
const PROBE_BYTES: usize = 64 * 1024;

/// Writes, syncs and removes a file in the folder.
pub(super) fn run<B: storage::StorageBackend>(
    backend: &B,
    folder: &path::Path,
) -> Result<(), storage::StorageError> {
    let path = folder.join(FILE_NAME);
    let attempt = || {
        let mut file = backend.create(&path)?;
        file.append(&vec![0; PROBE_BYTES])?;
        file.sync()
    };
    let written = attempt();
    let removed = backend.remove(&path);
    written.and(removed).context(storage_error::IoSnafu {
        action: "writing",
        path,
    })
}
