//! Recovery of the write-ahead log when a data folder is opened.

use std::path;

use snafu::ResultExt;

use crate::log;
use crate::storage;
use crate::storage::storage_error;

/// The result of replaying all segments of a data folder.
#[derive(Debug)]
pub(super) struct SegmentScan {
    pub(super) replay: storage::WalReplay,
    pub(super) closed: Vec<storage::ClosedSegment>,
    pub(super) next_sequence: u64,
}

/// The result of replaying one segment.
#[derive(Debug)]
struct SegmentContent {
    has_start: bool,
    last_index: log::LogIndex,
    valid_bytes: usize,
    complete: bool,
}

impl SegmentScan {
    /// Replays all segments in order and truncates a torn write at the end of the last one.
    pub(super) fn run<B: storage::StorageBackend>(
        backend: &B,
        folder: &path::Path,
        identity: &storage::FolderIdentity,
    ) -> Result<Self, storage::StorageError> {
        let mut names = backend.list(folder).context(storage_error::IoSnafu {
            action: "listing",
            path: folder,
        })?;
        names.retain(|name| name.starts_with(storage::SegmentFile::<B::File>::NAME_PREFIX));
        names.sort();
        if identity.prepared && names.is_empty() {
            return corrupt(folder, 0, "the write-ahead log is missing");
        }
        let mut scan = Self {
            replay: storage::WalReplay::default(),
            closed: Vec::new(),
            next_sequence: 1,
        };
        for (position, name) in names.iter().enumerate() {
            let last = position + 1 == names.len();
            scan.replay_segment(backend, folder.join(name), identity, last)?;
        }
        Ok(scan)
    }

    fn replay_segment<B: storage::StorageBackend>(
        &mut self,
        backend: &B,
        path: path::PathBuf,
        identity: &storage::FolderIdentity,
        last: bool,
    ) -> Result<(), storage::StorageError> {
        let content = self.read_segment(backend, &path, identity)?;
        let removable = !identity.prepared || !self.closed.is_empty();
        if !content.has_start && last && removable {
            return backend.remove(&path).context(storage_error::IoSnafu {
                action: "removing",
                path,
            });
        }
        if !content.has_start || (!content.complete && !last) {
            return corrupt(&path, content.valid_bytes, "the record is corrupt");
        }
        if !content.complete {
            truncate_tail(backend, &path, content.valid_bytes)?;
        }
        self.closed.push(storage::ClosedSegment {
            path,
            last_index: content.last_index,
        });
        Ok(())
    }

    fn read_segment<B: storage::StorageBackend>(
        &mut self,
        backend: &B,
        path: &path::Path,
        identity: &storage::FolderIdentity,
    ) -> Result<SegmentContent, storage::StorageError> {
        let bytes = backend.read(path).context(storage_error::IoSnafu {
            action: "reading",
            path,
        })?;
        let mut reader = storage::SegmentReader::new(path, &bytes);
        let mut last_index = log::LogIndex::ZERO;
        let mut has_start = false;
        loop {
            let offset = reader.offset();
            let Some(record) = reader.next()? else {
                break;
            };
            match &record {
                storage::WalRecord::Start(start) => {
                    self.check_start(path, start, identity)?;
                    has_start = true;
                }
                storage::WalRecord::Entry(entry) => {
                    last_index = last_index.max(entry.position.index);
                }
                _ => {}
            }
            if !self.replay.apply(record) {
                return corrupt(path, offset, "log entries before this record are missing");
            }
        }
        Ok(SegmentContent {
            has_start,
            last_index,
            valid_bytes: reader.offset(),
            complete: reader.offset() == bytes.len(),
        })
    }

    fn check_start(
        &mut self,
        path: &path::Path,
        start: &storage::SegmentStart,
        identity: &storage::FolderIdentity,
    ) -> Result<(), storage::StorageError> {
        if start.member != identity.member {
            return corrupt(path, 0, "the segment belongs to another member");
        }
        if !self.closed.is_empty() && start.sequence != self.next_sequence {
            return corrupt(path, 0, "the segment before this one is missing");
        }
        self.next_sequence = start.sequence + 1;
        Ok(())
    }
}

fn truncate_tail<B: storage::StorageBackend>(
    backend: &B,
    path: &path::Path,
    valid_bytes: usize,
) -> Result<(), storage::StorageError> {
    let shown = path.display();
    ::log::warn!("truncating {shown} to {valid_bytes} bytes: its last record is a torn write");
    backend
        .truncate(path, valid_bytes as u64)
        .context(storage_error::IoSnafu {
            action: "truncating",
            path,
        })
}

fn corrupt<T>(
    path: &path::Path,
    offset: usize,
    reason: &'static str,
) -> Result<T, storage::StorageError> {
    storage_error::CorruptSnafu {
        path,
        offset: offset as u64,
        reason,
    }
    .fail()
}
