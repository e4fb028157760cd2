//! Abstraction of an append-only file.

use std::fmt;
use std::io;

/// A file that is open for appending.
pub trait StorageFile: fmt::Debug + Send + 'static {
    /// Appends all bytes.
    ///
    /// # Errors
    ///
    /// Any failure; some of the bytes may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all appended bytes durable.
    ///
    /// # Errors
    ///
    /// Any failure; it is then unknown which bytes are durable.
    fn sync(&mut self) -> io::Result<()>;
}
