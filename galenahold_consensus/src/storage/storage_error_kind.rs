//! Categories of storage errors, without paths and causes.

/// Category of a [`StorageError`](super::StorageError).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StorageErrorKind {
    /// A file system operation failed: full disk, failed fsync, missing permissions.
    Io,
    /// The content of a file is corrupt.
    Corrupt,
    /// The content was written by a newer version.
    Newer,
    /// Another process has locked the folder.
    Locked,
    /// The folder belongs to another member.
    Foreign,
    /// The folder was detected to be an older copy and must not be used again.
    Retired,
}
