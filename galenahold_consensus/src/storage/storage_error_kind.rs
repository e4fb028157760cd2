//! [`StorageErrorKind`].

/// What to think of a storage error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StorageErrorKind {
    /// An operation of the file system failed: full disk, failed sync, missing rights.
    Io,
    /// The content of a file is damaged.
    Corrupt,
    /// A newer version wrote the content.
    Newer,
    /// Another process uses the folder.
    Locked,
    /// The folder belongs to another member.
    Foreign,
    /// The folder was found to be an older copy and must not be used again.
    Retired,
}
