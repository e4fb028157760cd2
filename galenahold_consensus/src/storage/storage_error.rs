//! Errors of a data folder, with the remedy for the operator.

use std::io;
use std::path;

use snafu::Snafu;

use crate::member;
use crate::storage;

/// An error from opening, reading or writing a data folder.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// A file system operation failed.
    #[snafu(display(
        "{action} {}: {source}; free space or repair the disk",
        path.display()
    ))]
    Io {
        /// Attempted operation.
        action: &'static str,
        /// Affected file or folder.
        path: path::PathBuf,
        /// Error from the file system.
        source: io::Error,
    },
    /// A record that had been durable is corrupt or missing.
    #[snafu(display(
        "reading {} at byte {offset}: {reason}; \
         replace this member with one that has an empty data folder",
        path.display()
    ))]
    Corrupt {
        /// Affected file.
        path: path::PathBuf,
        /// Offset of the record in bytes.
        offset: u64,
        /// Description of the corruption.
        reason: &'static str,
    },
    /// A record was written by a newer version.
    #[snafu(display(
        "reading {} at byte {offset}: the record was written by a newer version; \
         start that version or a later one",
        path.display()
    ))]
    Newer {
        /// Affected file.
        path: path::PathBuf,
        /// Offset of the record in bytes.
        offset: u64,
    },
    /// Another process has locked the folder.
    #[snafu(display(
        "locking {}: another process uses the data folder; stop that process first",
        path.display()
    ))]
    Locked {
        /// The lock file.
        path: path::PathBuf,
    },
    /// The folder belongs to another member.
    #[snafu(display(
        "opening the data folder {} for {expected}: the folder belongs to {found}; \
         give each member a folder of its own",
        path.display()
    ))]
    Foreign {
        /// Affected folder.
        path: path::PathBuf,
        /// Member name from the settings.
        expected: member::MemberName,
        /// Member name stored in the folder.
        found: member::MemberName,
    },
    /// The folder was detected to be an older copy.
    #[snafu(display(
        "opening the data folder {}: it is an older copy, other members have seen a later state; \
         empty the folder and add the member as a new one",
        path.display()
    ))]
    Retired {
        /// Affected folder.
        path: path::PathBuf,
    },
    /// An earlier write failed, so all further writes are refused.
    #[snafu(display(
        "writing to {}: an earlier write failed; free space or repair the disk",
        path.display()
    ))]
    Failed {
        /// Affected folder.
        path: path::PathBuf,
    },
}

impl StorageError {
    /// Returns the category of the error.
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
