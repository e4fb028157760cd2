//! Abstraction of the file system.

use std::fmt;
use std::io;
use std::path;

use crate::storage;

/// File system operations used by the store; tests replace them to inject failures.
pub trait StorageBackend: fmt::Debug + Clone + Send + 'static {
    /// A file open for writing.
    type File: storage::StorageFile;

    /// Creates a folder and its parents.
    ///
    /// # Errors
    ///
    /// Any failure of the file system.
    fn create_folder(&self, folder: &path::Path) -> io::Result<()>;

    /// Lists the file names in a folder.
    ///
    /// # Errors
    ///
    /// Any failure of the file system.
    fn list(&self, folder: &path::Path) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Any failure of the file system.
    fn read(&self, file: &path::Path) -> io::Result<Vec<u8>>;

    /// Creates an empty file; an existing file of that name is truncated.
    ///
    /// # Errors
    ///
    /// Any failure of the file system.
    fn create(&self, file: &path::Path) -> io::Result<Self::File>;

    /// Durably truncates a file to a length in bytes.
    ///
    /// # Errors
    ///
    /// Any failure of the file system.
    fn truncate(&self, file: &path::Path, length_bytes: u64) -> io::Result<()>;

    /// Renames a file, replacing an existing file of the new name.
    ///
    /// # Errors
    ///
    /// Any failure of the file system.
    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Any failure of the file system.
    fn remove(&self, file: &path::Path) -> io::Result<()>;

    /// Makes the directory entries of a folder durable.
    ///
    /// # Errors
    ///
    /// Any failure of the file system.
    fn sync_folder(&self, folder: &path::Path) -> io::Result<()>;
}
