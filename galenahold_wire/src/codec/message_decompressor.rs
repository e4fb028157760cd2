//! Decompression of incoming messages.

use std::io;

/// Free space that the message buffer has at least before each call of the decompressor, in bytes.
const MIN_FREE_BYTES: usize = 4 * 1024;

/// Decompresses the messages of one direction of a connection, which form one DEFLATE stream.
#[derive(Debug)]
pub(super) struct MessageDecompressor {
    stream: flate2::Decompress,
}

impl MessageDecompressor {
    /// Decompresses one message.
    ///
    /// # Errors
    ///
    /// Returns an error if the input is not a compressed message, or if the message exceeds `max_bytes`.
    pub(super) fn decompress(
        &mut self,
        compressed: &[u8],
        max_bytes: usize,
    ) -> io::Result<Vec<u8>> {
        let mut message = Vec::with_capacity(compressed.len() * 4);
        let before = self.stream.total_in();
        let mut consumed = 0;
        loop {
            message.reserve(MIN_FREE_BYTES);
            let length_before = message.len();
            let rest = &compressed[consumed..];
            self.stream
                .decompress_vec(rest, &mut message, flate2::FlushDecompress::Sync)
                .map_err(|error| invalid(&error.to_string()))?;
            let consumed_now =
                usize::try_from(self.stream.total_in() - before).unwrap_or(usize::MAX);
            let stalled = message.len() == length_before && consumed_now == consumed;
            consumed = consumed_now;
            if message.len() > max_bytes {
                return Err(invalid("the decompressed message is too large"));
            }
            // Free space in the buffer means that the output of all consumed input has been written.
            if consumed == compressed.len() && message.len() < message.capacity() {
                return Ok(message);
            }
            if stalled {
                return Err(invalid(
                    "the compressed stream ended before the end of the message",
                ));
            }
        }
    }
}

impl Default for MessageDecompressor {
    fn default() -> Self {
        Self {
            stream: flate2::Decompress::new(false),
        }
    }
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}
