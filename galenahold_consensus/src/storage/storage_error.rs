//! [`StorageError`].

use std::io;
use std::path;

use snafu::Snafu;

use crate::member;
use crate::storage;

/// Why a data folder could not be opened, read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// An operation of the file system failed.
    #[snafu(display(
        "{action} {}: {source}; mend the disk and start the instance again",
        path.display()
    ))]
    Io {
        /// What was attempted.
        action: &'static str,
        /// File or folder.
        path: path::PathBuf,
        /// What the file system reports.
        source: io::Error,
    },
    /// A record is damaged in a place that had been durable.
    #[snafu(display(
        "reading {} at byte {offset}: {reason}; replace this member with an empty folder",
        path.display()
    ))]
    Corrupt {
        /// The file.
        path: path::PathBuf,
        /// Offset of the record in bytes.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// A newer version wrote a record.
    #[snafu(display(
        "reading {} at byte {offset}: a newer version wrote it; start that version or a later one",
        path.display()
    ))]
    Newer {
        /// The file.
        path: path::PathBuf,
        /// Offset of the record in bytes.
        offset: u64,
    },
    /// Another process uses the folder.
    #[snafu(display(
        "locking {}: another process uses the data folder; stop it first",
        path.display()
    ))]
    Locked {
        /// The lock file.
        path: path::PathBuf,
    },
    /// The folder belongs to another member.
    #[snafu(display(
        "opening the data folder {} for {expected}: it belongs to {found}; give each member its own",
        path.display()
    ))]
    Foreign {
        /// The folder.
        path: path::PathBuf,
        /// Name from the settings.
        expected: member::MemberName,
        /// Name in the folder.
        found: member::MemberName,
    },
    /// The folder was found to be an older copy.
    #[snafu(display(
        "opening the data folder {}: other members have seen a later state of it; \
         empty it and add it as a new member",
        path.display()
    ))]
    Retired {
        /// The folder.
        path: path::PathBuf,
    },
    /// An earlier operation failed, so nothing is written any more.
    #[snafu(display(
        "writing to {}: an earlier write failed; mend the disk and start the instance again",
        path.display()
    ))]
    Failed {
        /// The folder.
        path: path::PathBuf,
    },
}

impl StorageError {
    /// Returns what to think of the error.
    #[must_use]
    pub fn kind(&self) -> storage::StorageErrorKind {
        match self {
            Self::Io { .. } | Self::Failed { .. } => storage::StorageErrorKind::Io,
            Self::Corrupt { .. } => storage::StorageErrorKind::Corrupt,
            Self::Newer { .. } => storage::StorageErrorKind::Newer,
            Self::Locked { .. } => storage::StorageErrorKind::Locked,
            Self::Foreign { .. } => storage::StorageErrorKind::Foreign,
            Self::Retired { .. } => storage::StorageErrorKind::Retired,
        }
    }
}
