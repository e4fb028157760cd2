//! [`StorageFile`].

use std::fmt;
use std::io;

/// A file that is written at its end only.
pub trait StorageFile: fmt::Debug + Send + 'static {
    /// Writes all bytes at the end.
    ///
    /// # Errors
    ///
    /// Any failure; a part of the bytes may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all that was written durable.
    ///
    /// # Errors
    ///
    /// Any failure; it is then unknown what is durable.
    fn sync(&mut self) -> io::Result<()>;
}
