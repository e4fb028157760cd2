//! Durable state of a Raft member: opening, writing and compacting a data folder.

use std::path;

use snafu::ResultExt;

use crate::core;
use crate::log;
use crate::member;
use crate::message;
use crate::storage;
use crate::storage::storage_error;

/// The write-ahead log, snapshots and identity in an open data folder.
///
/// After the first failed write, all further writes are refused: after a failed fsync, the content
/// of the disk is unknown until the folder is read again, see [`storage::MemberFolder`].
#[derive(Debug)]
pub struct LogStore<B: storage::StorageBackend> {
    backend: B,
    folder: path::PathBuf,
    settings: storage::StoreSettings,
    identity: storage::FolderIdentity,
    snapshots: storage::SnapshotStore<B>,
    segment: storage::SegmentFile<B::File>,
    sequence: u64,
    closed: Vec<storage::ClosedSegment>,
    hard_state: log::HardState,
    marks: Vec<message::MemberWatermark>,
    failed: bool,
    _lock: storage::FolderLock,
}

impl<B: storage::StorageBackend> LogStore<B> {
    /// Opens a data folder and recovers its state; creates the folder if it is missing.
    ///
    /// `new_id` becomes the identity of an empty folder. Each call increments the boot number.
    ///
    /// # Errors
    ///
    /// The folder is corrupt, locked, retired, owned by another member or written by a newer
    /// version, or an I/O operation failed.
    pub fn open(
        backend: B,
        folder: &path::Path,
        settings: storage::StoreSettings,
        name: &member::MemberName,
        new_id: member::MemberId,
    ) -> Result<storage::OpenedStore<B>, storage::StorageError> {
        backend
            .create_folder(folder)
            .context(storage_error::IoSnafu {
                action: "creating",
                path: folder,
            })?;
        let lock = storage::FolderLock::acquire(folder)?;
        let identity = storage::FolderIdentity::open(&backend, folder, name, new_id)?;
        Self::recover(backend, folder, settings, identity, lock)
    }

    /// Recovers the state of a locked folder and prepares it for writes.
    pub(super) fn recover(
        backend: B,
        folder: &path::Path,
        settings: storage::StoreSettings,
        mut identity: storage::FolderIdentity,
        lock: storage::FolderLock,
    ) -> Result<storage::OpenedStore<B>, storage::StorageError> {
        let snapshots = storage::SnapshotStore::new(backend.clone(), folder);
        snapshots.remove_drafts()?;
        let snapshot = snapshots.load()?;
        let mut scan = storage::SegmentScan::run(&backend, folder, &identity)?;
        let base = snapshot
            .as_ref()
            .map(|image| image.meta.position)
            .unwrap_or_default();
        let Some(suffix) = scan.replay.log_suffix(base) else {
            return storage_error::CorruptSnafu {
                path: folder,
                offset: 0_u64,
                reason: "entries between the snapshot and the log are missing",
            }
            .fail();
        };
        let recovered = core::RecoveredState {
            hard_state: scan.replay.hard_state,
            snapshot,
            entries: suffix.entries,
            marks: scan.replay.marks,
        };
        identity.boot += 1;
        let start = storage::SegmentStart {
            sequence: scan.next_sequence,
            member: identity.member,
            hard_state: recovered.hard_state,
            marks: recovered.marks.clone(),
        };
        let mut segment = storage::SegmentFile::create(&backend, folder, start)?;
        if suffix.superseded {
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
        Ok(storage::OpenedStore { store, recovered })
    }

    /// Returns the identity that is stored in the folder.
    #[must_use]
    pub fn identity(&self) -> &storage::FolderIdentity {
        &self.identity
    }

    /// Returns the snapshot store, which may be used from another thread.
    #[must_use]
    pub fn snapshots(&self) -> storage::SnapshotStore<B> {
        self.snapshots.clone()
    }

    /// Returns what is needed to open the folder again after this store is dropped.
    pub(super) fn to_closed(&self) -> storage::ClosedStore<B> {
        storage::ClosedStore {
            backend: self.backend.clone(),
            folder: self.folder.clone(),
            settings: self.settings,
            identity: self.identity.clone(),
            tail: storage::DurableTail {
                path: self.segment.path().to_path_buf(),
                length_bytes: self.segment.length_bytes(),
            },
        }
    }

    /// Durably records the group that the member belongs to.
    ///
    /// # Errors
    ///
    /// The identity could not be made durable.
    pub fn join(
        &mut self,
        cluster: member::ClusterId,
        genesis: member::MembershipList,
    ) -> Result<(), storage::StorageError> {
        let mut identity = self.identity.clone();
        identity.cluster = Some(cluster);
        identity.genesis = genesis;
        self.save_identity(identity)
    }

    /// Durably marks the folder as an older copy, so that it can never be opened again.
    ///
    /// # Errors
    ///
    /// The identity could not be made durable.
    pub fn retire(&mut self) -> Result<(), storage::StorageError> {
        let mut identity = self.identity.clone();
        identity.retired = true;
        self.save_identity(identity)
    }

    /// Makes the received snapshot, the hard state and the entries of an output durable, in this
    /// order.
    ///
    /// # Errors
    ///
    /// A write failed: nothing in the output may be acknowledged, and all further writes are
    /// refused.
    pub fn persist(&mut self, output: &core::NodeOutput) -> Result<(), storage::StorageError> {
        let mut records = Vec::new();
        if let Some(image) = &output.install {
            self.run_unless_failed(|store| store.snapshots.save(image))?;
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
            self.compact_to(image.meta.position.index)?;
        }
        Ok(())
    }

    /// Makes the watermarks of the other members' durable state durable.
    ///
    /// # Errors
    ///
    /// As for [`LogStore::persist`].
    pub fn persist_watermarks(
        &mut self,
        marks: Vec<message::MemberWatermark>,
    ) -> Result<(), storage::StorageError> {
        if marks == self.marks {
            return Ok(());
        }
        self.marks.clone_from(&marks);
        self.write(&[storage::WalRecord::Marks(marks)])
    }

    /// Compacts the log: removes the segments and snapshots that a durable snapshot at the index
    /// supersedes.
    ///
    /// # Errors
    ///
    /// As for [`LogStore::persist`].
    pub fn compact_to(&mut self, index: log::LogIndex) -> Result<(), storage::StorageError> {
        self.run_unless_failed(|store| {
            store.rotate()?;
            let covered = store
                .closed
                .iter()
                .take_while(|segment| segment.last_index <= index)
                .count();
            for _ in 0..covered {
                let segment = store.closed.remove(0);
                store.remove_segment(&segment)?;
            }
            store.snapshots.purge(index)
        })
    }

    /// Removes a segment durably, so that a crash cannot leave a gap before a later segment.
    fn remove_segment(
        &self,
        segment: &storage::ClosedSegment,
    ) -> Result<(), storage::StorageError> {
        self.backend
            .remove(&segment.path)
            .and_then(|()| self.backend.sync_folder(&self.folder))
            .context(storage_error::IoSnafu {
                action: "removing",
                path: &segment.path,
            })
    }

    fn write(&mut self, records: &[storage::WalRecord]) -> Result<(), storage::StorageError> {
        if records.is_empty() {
            return Ok(());
        }
        self.run_unless_failed(|store| {
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
        let segment = storage::SegmentFile::create(&self.backend, &self.folder, start)?;
        self.sequence += 1;
        let closed = std::mem::replace(&mut self.segment, segment);
        self.closed.push(storage::ClosedSegment {
            path: closed.path().to_path_buf(),
            last_index: closed.last_index,
        });
        Ok(())
    }

    fn save_identity(
        &mut self,
        identity: storage::FolderIdentity,
    ) -> Result<(), storage::StorageError> {
        self.run_unless_failed(|store| {
            identity.save(&store.backend, &store.folder)?;
            store.identity = identity;
            Ok(())
        })
    }

    fn run_unless_failed(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), storage::StorageError>,
    ) -> Result<(), storage::StorageError> {
        if self.failed {
            return storage_error::FailedSnafu { path: &self.folder }.fail();
        }
        let outcome = operation(self);
        self.failed = outcome.is_err();
        outcome
    }
}
