//! Test fixture for data folders and their content.

use std::fs;
use std::path;

use galenahold_consensus::core;
use galenahold_consensus::log;
use galenahold_consensus::member;
use galenahold_consensus::storage;

pub(crate) type Opened = Result<storage::OpenedStore<storage::FileBackend>, storage::StorageError>;

/// A temporary data folder that can be opened and inspected.
pub(crate) struct StoreFolder {
    folder: tempfile::TempDir,
}

impl StoreFolder {
    pub(crate) const NAME: &str = "alpha";

    pub(crate) fn new() -> Self {
        Self {
            folder: tempfile::tempdir().expect("temporary folder"),
        }
    }

    pub(crate) fn path(&self) -> path::PathBuf {
        self.folder.path().join("data")
    }

    pub(crate) fn open(&self) -> Opened {
        self.open_as(Self::NAME)
    }

    pub(crate) fn open_as(&self, name: &str) -> Opened {
        self.open_with(name, storage::StoreSettings::default())
    }

    pub(crate) fn open_with(&self, name: &str, settings: storage::StoreSettings) -> Opened {
        storage::LogStore::open(
            storage::FileBackend,
            &self.path(),
            settings,
            &member::MemberName::new(name),
            member::MemberId::new(7),
        )
    }

    /// Returns the newest segment of the write-ahead log.
    pub(crate) fn newest_segment(&self) -> path::PathBuf {
        self.files("wal-").pop().expect("a segment")
    }

    pub(crate) fn files(&self, prefix: &str) -> Vec<path::PathBuf> {
        let mut files: Vec<path::PathBuf> = fs::read_dir(self.path())
            .expect("data folder")
            .filter_map(Result::ok)
            .filter(|entry| entry.file_name().to_string_lossy().starts_with(prefix))
            .map(|entry| entry.path())
            .collect();
        files.sort();
        files
    }
}

pub(crate) fn entry(index: u64) -> log::LogEntry {
    entry_of_term(index, 1)
}

pub(crate) fn entry_of_term(index: u64, term: u64) -> log::LogEntry {
    log::LogEntry {
        position: log::LogPosition {
            term: log::Term::new(term),
            index: log::LogIndex::new(index),
        },
        payload: log::EntryPayload::Command(format!("command {index}").into()),
    }
}

pub(crate) fn output(entries: Vec<log::LogEntry>) -> core::NodeOutput {
    core::NodeOutput {
        entries,
        ..core::NodeOutput::default()
    }
}

pub(crate) fn image(index: u64) -> log::SnapshotImage {
    log::SnapshotImage {
        meta: log::SnapshotMeta {
            position: entry(index).position,
            membership: member::MembershipList::default(),
        },
        data: format!("state {index}").into(),
    }
}
