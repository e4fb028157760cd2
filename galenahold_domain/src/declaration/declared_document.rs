//! An operator's declaration as a compressed, unparsed document.

use std::io;
use std::io::{Read, Write};
use std::sync;

use serde::{Deserialize, Serialize};

/// The maximum size of an unpacked document in bytes: several times what an operator may send.
const MAX_BYTES: u64 = 64 * 1024 * 1024;

/// An operator's document, unparsed, with the number that the operator assigned to it.
///
/// The document is compressed because the whole of it is written to the log and to each data
/// folder, and is sent to each instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeclaredDocument {
    /// The number assigned by the operator; the document with the highest number is in force.
    pub number: u64,
    content: sync::Arc<serde_bytes::ByteBuf>,
    #[serde(default)]
    packing: DocumentPacking,
}

/// The encoding of a document's stored bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DocumentPacking {
    /// Uncompressed.
    #[default]
    Plain,
    /// Compressed as a deflate stream (RFC 1951).
    Deflate,
}

impl DeclaredDocument {
    /// Compresses a document.
    ///
    /// # Errors
    ///
    /// Fails if the document cannot be compressed.
    pub fn pack(number: u64, document: &[u8]) -> io::Result<Self> {
        let level = flate2::Compression::default();
        let mut encoder = flate2::write::DeflateEncoder::new(Vec::new(), level);
        encoder.write_all(document)?;
        Ok(Self {
            number,
            content: sync::Arc::new(serde_bytes::ByteBuf::from(encoder.finish()?)),
            packing: DocumentPacking::Deflate,
        })
    }

    /// Returns the document's original bytes.
    ///
    /// # Errors
    ///
    /// Fails if the stored bytes cannot be decompressed.
    pub fn unpack(&self) -> io::Result<Vec<u8>> {
        match self.packing {
            DocumentPacking::Plain => Ok(self.content.to_vec()),
            DocumentPacking::Deflate => {
                let decoder = flate2::read::DeflateDecoder::new(self.content.as_slice());
                let mut document = Vec::new();
                decoder.take(MAX_BYTES).read_to_end(&mut document)?;
                Ok(document)
            }
        }
    }

    /// Returns the number of stored bytes.
    #[must_use]
    pub fn packed_bytes(&self) -> usize {
        self.content.len()
    }
}
