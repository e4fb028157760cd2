//! Compression of outgoing messages.

use std::io;

/// Free space that the output buffer has at least before each call of the compressor, in bytes.
const MIN_FREE_BYTES: usize = 512;

/// Compresses the messages of one direction of a connection as one DEFLATE stream.
#[derive(Debug)]
pub(super) struct MessageCompressor {
    stream: flate2::Compress,
}

impl MessageCompressor {
    /// Appends the compressed form of a message to `compressed`.
    pub(super) fn compress(&mut self, message: &[u8], compressed: &mut Vec<u8>) -> io::Result<()> {
        let before = self.stream.total_in();
        loop {
            compressed.reserve(MIN_FREE_BYTES);
            let consumed = consumed_since(before, self.stream.total_in());
            self.stream
                .compress_vec(
                    &message[consumed..],
                    compressed,
                    flate2::FlushCompress::Sync,
                )
                .map_err(io::Error::other)?;
            let consumed = consumed_since(before, self.stream.total_in());
            // Free space in the buffer means that the output of all consumed input has been flushed.
            if consumed == message.len() && compressed.len() < compressed.capacity() {
                return Ok(());
            }
        }
    }
}

impl Default for MessageCompressor {
    fn default() -> Self {
        Self {
            stream: flate2::Compress::new(flate2::Compression::fast(), false),
        }
    }
}

fn consumed_since(before: u64, now: u64) -> usize {
    usize::try_from(now - before).unwrap_or(usize::MAX)
}
