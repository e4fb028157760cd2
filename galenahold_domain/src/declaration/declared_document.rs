//! An operator's document as it came.

use std::io;
use std::io::{Read, Write};
use std::sync;

use serde::{Deserialize, Serialize};

/// The largest document that is unpacked, in bytes: several times what an operator may send.
const MAX_BYTES: u64 = 64 * 1024 * 1024;

/// An operator's document as it came, under the operator's number.
///
/// It is kept packed: it goes whole to the log, to each data folder and to each instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeclaredDocument {
    /// The operator's number; the highest is in force.
    pub number: u64,
    content: sync::Arc<serde_bytes::ByteBuf>,
    #[serde(default)]
    packing: DocumentPacking,
}

/// How a document's bytes are kept.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DocumentPacking {
    /// As they came.
    #[default]
    Plain,
    /// As a deflate stream (RFC 1951).
    Deflate,
}

impl DeclaredDocument {
    /// Packs a document.
    ///
    /// # Errors
    ///
    /// The document cannot be packed.
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

    /// Returns the document's bytes as they came.
    ///
    /// # Errors
    ///
    /// What was kept cannot be unpacked.
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

    /// Returns how many bytes are kept.
    #[must_use]
    pub fn packed_bytes(&self) -> usize {
        self.content.len()
    }
}
