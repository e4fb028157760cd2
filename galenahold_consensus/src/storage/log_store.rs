//! [`LogStore`].

use std::path;

use snafu::ResultExt;

use crate::core;
use crate::log;
use crate::member;
use crate::message;
use crate::storage;
use crate::storage::storage_error;

/// An open data folder.
///
/// After the first failed write nothing is written any more: what a failed sync has left on the
/// disk is unknown until the folder is read again.
#[derive(Debug)]
pub struct LogStore<B: storage::StorageBackend> {
    backend: B,
    folder: path::PathBuf,
    settings: storage::StoreSettings,
    identity: storage::FolderIdentity,
    snapshots: storage::SnapshotStore<B>,
    segment: storage::SegmentFile<B::File>,
    sequence: u64,
    closed: Vec<ClosedSegment>,
    hard_state: log::HardState,
    marks: Vec<message::MemberMark>,
    failed: bool,
    _lock: storage::FolderLock,
}

#[derive(Debug)]
struct ClosedSegment {
    path: path::PathBuf,
    last_index: log::LogIndex,
}

/// An open data folder with what it holds.
#[derive(Debug)]
pub struct OpenedStore<B: storage::StorageBackend> {
    /// The folder.
    pub store: LogStore<B>,
    /// Its content.
    pub recovered: core::RecoveredState,
}

impl<B: storage::StorageBackend> LogStore<B> {
    const SEGMENT_PREFIX: &'static str = "wal-";

    /// Opens a data folder, creating it where it is missing or empty.
    ///
    /// `fresh` becomes the identity of an empty folder. Each opening counts as a start.
    ///
    /// # Errors
    ///
    /// The folder is damaged, locked, another member's, retired or out of order.
    pub fn open(
        backend: B,
        folder: &path::Path,
        settings: storage::StoreSettings,
        name: &member::MemberName,
        fresh: member::MemberId,
    ) -> Result<OpenedStore<B>, storage::StorageError> {
        backend
            .create_folder(folder)
            .context(storage_error::IoSnafu {
                action: "creating",
                path: folder,
            })?;
        let lock = storage::FolderLock::acquire(folder)?;
        let mut identity = open_identity(&backend, folder, name, fresh)?;
        let snapshots = storage::SnapshotStore::new(backend.clone(), folder);
        snapshots.remove_drafts()?;
        let snapshot = snapshots.load()?;
        let mut scan = scan_segments(&backend, folder, &identity)?;
        let base = snapshot
            .as_ref()
            .map(|image| image.meta.position)
            .unwrap_or_default();
        let Some(after) = scan.replay.entries_after(base) else {
            return storage_error::CorruptSnafu {
                path: folder,
                offset: 0_u64,
                flaw: "entries between the snapshot and the log are missing",
            }
            .fail();
        };
        let recovered = core::RecoveredState {
            hard_state: scan.replay.hard_state,
            snapshot,
            entries: after.entries,
            marks: scan.replay.marks,
        };
        identity.boot += 1;
        let start = storage::SegmentStart {
            sequence: scan.next_sequence,
            member: identity.member,
            hard_state: recovered.hard_state,
            marks: recovered.marks.clone(),
        };
        let mut segment = create_segment(&backend, folder, start)?;
        if after.outdated {
            segment.append(&[storage::WalRecord::Reset(base)])?;
        }
        identity.prepared = true;
        identity.save(&backend, folder)?;
        let store = Self {
            snapshots,
            segment,
            sequence: scan.next_sequence,
            closed: scan.closed,
            hard_state: recovered.hard_state,
            marks: recovered.marks.clone(),
            failed: false,
            folder: folder.to_path_buf(),
            _lock: lock,
            backend,
            settings,
            identity,
        };
        Ok(OpenedStore { store, recovered })
    }

    /// Returns whose folder it is.
    #[must_use]
    pub fn identity(&self) -> &storage::FolderIdentity {
        &self.identity
    }

    /// Returns the snapshot files, for writing them from another thread.
    #[must_use]
    pub fn snapshots(&self) -> storage::SnapshotStore<B> {
        self.snapshots.clone()
    }

    /// Joins a group durably.
    ///
    /// # Errors
    ///
    /// The identity could not be made durable.
    pub fn join(
        &mut self,
        cluster: member::ClusterId,
        genesis: member::MembershipList,
    ) -> Result<(), storage::StorageError> {
        self.identity.cluster = Some(cluster);
        self.identity.genesis = genesis;
        self.save_identity()
    }

    /// Marks the folder as an older copy, which is never opened again.
    ///
    /// # Errors
    ///
    /// The identity could not be made durable.
    pub fn retire(&mut self) -> Result<(), storage::StorageError> {
        self.identity.retired = true;
        self.save_identity()
    }

    /// Makes a snapshot from the leader, the hard state and entries durable, in this order.
    ///
    /// # Errors
    ///
    /// Something could not be made durable: nothing of it may be acknowledged, and all further
    /// writes are refused.
    pub fn persist(&mut self, output: &core::NodeOutput) -> Result<(), storage::StorageError> {
        let mut records = Vec::new();
        if let Some(image) = &output.install {
            self.guarded(|store| store.snapshots.save(image))?;
            records.push(storage::WalRecord::Reset(image.meta.position));
        }
        if let Some(hard_state) = output.hard_state {
            self.hard_state = hard_state;
            records.push(storage::WalRecord::HardState(hard_state));
        }
        let entries = output.entries.iter().cloned();
        records.extend(entries.map(storage::WalRecord::Entry));
        self.write(&records)?;
        if let Some(image) = &output.install {
            self.release_before(image.meta.position.index)?;
        }
        Ok(())
    }

    /// Makes what is known of the other members' durable state durable.
    ///
    /// # Errors
    ///
    /// As for [`LogStore::persist`].
    pub fn persist_marks(
        &mut self,
        marks: Vec<message::MemberMark>,
    ) -> Result<(), storage::StorageError> {
        if marks == self.marks {
            return Ok(());
        }
        self.marks.clone_from(&marks);
        self.write(&[storage::WalRecord::Marks(marks)])
    }

    /// Removes the files that a durable snapshot at the index makes superfluous.
    ///
    /// # Errors
    ///
    /// As for [`LogStore::persist`].
    pub fn release_before(&mut self, index: log::LogIndex) -> Result<(), storage::StorageError> {
        self.guarded(|store| {
            store.rotate()?;
            let covered = store
                .closed
                .iter()
                .take_while(|segment| segment.last_index <= index)
                .count();
            for segment in store.closed.drain(..covered) {
                store
                    .backend
                    .remove(&segment.path)
                    .context(storage_error::IoSnafu {
                        action: "removing",
                        path: &segment.path,
                    })?;
            }
            store.snapshots.purge(index)
        })
    }

    fn write(&mut self, records: &[storage::WalRecord]) -> Result<(), storage::StorageError> {
        if records.is_empty() {
            return Ok(());
        }
        self.guarded(|store| {
            if store.segment.length_bytes() >= store.settings.segment_bytes {
                store.rotate()?;
            }
            store.segment.append(records)
        })
    }

    fn rotate(&mut self) -> Result<(), storage::StorageError> {
        let start = storage::SegmentStart {
            sequence: self.sequence + 1,
            member: self.identity.member,
            hard_state: self.hard_state,
            marks: self.marks.clone(),
        };
        let segment = create_segment(&self.backend, &self.folder, start)?;
        self.sequence += 1;
        let closed = std::mem::replace(&mut self.segment, segment);
        self.closed.push(ClosedSegment {
            path: closed.path().to_path_buf(),
            last_index: closed.last_index,
        });
        Ok(())
    }

    fn save_identity(&mut self) -> Result<(), storage::StorageError> {
        self.guarded(|store| store.identity.save(&store.backend, &store.folder))
    }

    fn guarded(
        &mut self,
        attempt: impl FnOnce(&mut Self) -> Result<(), storage::StorageError>,
    ) -> Result<(), storage::StorageError> {
        if self.failed {
            return storage_error::FailedSnafu { path: &self.folder }.fail();
        }
        let outcome = attempt(self);
        self.failed = outcome.is_err();
        outcome
    }
}

struct SegmentScan {
    replay: storage::WalReplay,
    closed: Vec<ClosedSegment>,
    next_sequence: u64,
}

fn open_identity<B: storage::StorageBackend>(
    backend: &B,
    folder: &path::Path,
    name: &member::MemberName,
    fresh: member::MemberId,
) -> Result<storage::FolderIdentity, storage::StorageError> {
    let Some(identity) = storage::FolderIdentity::load(backend, folder)? else {
        let identity = storage::FolderIdentity::new(fresh, name.clone());
        identity.save(backend, folder)?;
        return Ok(identity);
    };
    if identity.name != *name {
        return storage_error::ForeignSnafu {
            path: folder,
            expected: name.clone(),
            found: identity.name,
        }
        .fail();
    }
    if identity.retired {
        return storage_error::RetiredSnafu { path: folder }.fail();
    }
    Ok(identity)
}

fn scan_segments<B: storage::StorageBackend>(
    backend: &B,
    folder: &path::Path,
    identity: &storage::FolderIdentity,
) -> Result<SegmentScan, storage::StorageError> {
    let mut names = backend.list(folder).context(storage_error::IoSnafu {
        action: "listing",
        path: folder,
    })?;
    names.retain(|name| name.starts_with(LogStore::<B>::SEGMENT_PREFIX));
    names.sort();
    let mut scan = SegmentScan {
        replay: storage::WalReplay::default(),
        closed: Vec::new(),
        next_sequence: 1,
    };
    if identity.prepared && names.is_empty() {
        return corrupt(folder, 0, "the write-ahead log is missing");
    }
    for (position, name) in names.iter().enumerate() {
        let last = position + 1 == names.len();
        scan_segment(backend, folder, name, identity, last, &mut scan)?;
    }
    Ok(scan)
}

fn scan_segment<B: storage::StorageBackend>(
    backend: &B,
    folder: &path::Path,
    name: &str,
    identity: &storage::FolderIdentity,
    last: bool,
    scan: &mut SegmentScan,
) -> Result<(), storage::StorageError> {
    let path = folder.join(name);
    let bytes = backend.read(&path).context(storage_error::IoSnafu {
        action: "reading",
        path: &path,
    })?;
    let mut reader = storage::SegmentReader::new(&path, &bytes);
    let mut last_index = log::LogIndex::ZERO;
    let mut started = false;
    loop {
        let offset = reader.offset();
        let Some(record) = reader.next()? else {
            break;
        };
        match &record {
            storage::WalRecord::Start(start) => {
                check_start(&path, start, identity, scan)?;
                started = true;
            }
            storage::WalRecord::Entry(entry) => last_index = last_index.max(entry.position.index),
            _ => {}
        }
        if !scan.replay.apply(record) {
            return corrupt(&path, offset, "entries before this one are missing");
        }
    }
    let valid = reader.offset();
    let unfinished = !started && last && (!identity.prepared || !scan.closed.is_empty());
    if unfinished {
        return backend.remove(&path).context(storage_error::IoSnafu {
            action: "removing",
            path,
        });
    }
    if !started || (valid < bytes.len() && !last) {
        return corrupt(&path, valid, "the record is damaged");
    }
    if valid < bytes.len() {
        cut_tail(backend, &path, valid)?;
    }
    scan.closed.push(ClosedSegment { path, last_index });
    Ok(())
}

fn check_start(
    path: &path::Path,
    start: &storage::SegmentStart,
    identity: &storage::FolderIdentity,
    scan: &mut SegmentScan,
) -> Result<(), storage::StorageError> {
    if start.member != identity.member {
        return corrupt(path, 0, "the segment belongs to another member");
    }
    if !scan.closed.is_empty() && start.sequence != scan.next_sequence {
        return corrupt(path, 0, "the segment before this one is missing");
    }
    scan.next_sequence = start.sequence + 1;
    Ok(())
}

fn cut_tail<B: storage::StorageBackend>(
    backend: &B,
    path: &path::Path,
    valid: usize,
) -> Result<(), storage::StorageError> {
    ::log::warn!(
        "cutting the torn tail of {} at byte {valid}",
        path.display()
    );
    backend
        .cut(path, valid as u64)
        .context(storage_error::IoSnafu {
            action: "cutting",
            path,
        })
}

fn create_segment<B: storage::StorageBackend>(
    backend: &B,
    folder: &path::Path,
    start: storage::SegmentStart,
) -> Result<storage::SegmentFile<B::File>, storage::StorageError> {
    let name = format!("{}{:020}", LogStore::<B>::SEGMENT_PREFIX, start.sequence);
    let path = folder.join(name);
    let file = backend.create(&path).context(storage_error::IoSnafu {
        action: "creating",
        path: &path,
    })?;
    let mut segment = storage::SegmentFile::new(path, file);
    segment.append(&[storage::WalRecord::Start(start)])?;
    backend
        .sync_folder(folder)
        .context(storage_error::IoSnafu {
            action: "syncing",
            path: folder,
        })?;
    Ok(segment)
}

fn corrupt<T>(
    path: &path::Path,
    offset: usize,
    flaw: &'static str,
) -> Result<T, storage::StorageError> {
    storage_error::CorruptSnafu {
        path,
        offset: offset as u64,
        flaw,
    }
    .fail()
}
