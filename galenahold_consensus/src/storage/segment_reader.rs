//! Reading the write-ahead log, with torn writes told apart from corruption.

use std::path;

use crate::storage;
use crate::storage::storage_error;

/// Iterates over the records of one segment.
#[derive(Debug)]
pub(super) struct SegmentReader<'a> {
    path: &'a path::Path,
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> SegmentReader<'a> {
    pub(super) fn new(path: &'a path::Path, bytes: &'a [u8]) -> Self {
        Self {
            path,
            bytes,
            offset: 0,
        }
    }

    /// Offset of the first byte after the last valid record.
    pub(super) fn offset(&self) -> usize {
        self.offset
    }

    /// Returns the next record, or `None` at the end of the segment or at a torn write.
    pub(super) fn next(&mut self) -> Result<Option<storage::WalRecord>, storage::StorageError> {
        if self.offset == self.bytes.len() {
            return Ok(None);
        }
        let framed = match storage::RecordCodec::decode(self.bytes, self.offset) {
            Ok(framed) => framed,
            Err(storage::RecordError::Newer) => return self.newer(),
            Err(storage::RecordError::Corrupt) => return self.check_torn_write(),
        };
        let Ok(record) = rmp_serde::from_slice(framed.payload) else {
            return self.newer();
        };
        self.offset = framed.end;
        Ok(Some(record))
    }

    /// Returns `None` if the invalid record is a torn write, or an error if it had been durable.
    fn check_torn_write(&self) -> Result<Option<storage::WalRecord>, storage::StorageError> {
        if storage::RecordCodec::proves_durable(self.bytes, self.offset) {
            return storage_error::CorruptSnafu {
                path: self.path,
                offset: self.offset as u64,
                reason: "the record is corrupt, but later records are valid",
            }
            .fail();
        }
        Ok(None)
    }

    fn newer(&self) -> Result<Option<storage::WalRecord>, storage::StorageError> {
        storage_error::NewerSnafu {
            path: self.path,
            offset: self.offset as u64,
        }
        .fail()
    }
}
