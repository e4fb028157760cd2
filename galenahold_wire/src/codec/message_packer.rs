//! Packs the messages of one direction of a connection.

use std::io;

/// Room that the packed form of a message grows by, in bytes.
const GROWTH: usize = 512;

/// Packs the messages of one direction of a connection as one stream.
#[derive(Debug)]
pub(super) struct MessagePacker {
    stream: flate2::Compress,
}

impl MessagePacker {
    /// Appends the packed form of a message.
    pub(super) fn pack(&mut self, message: &[u8], packed: &mut Vec<u8>) -> io::Result<()> {
        let before = self.stream.total_in();
        loop {
            packed.reserve(GROWTH);
            let taken = taken_since(before, self.stream.total_in());
            self.stream
                .compress_vec(&message[taken..], packed, flate2::FlushCompress::Sync)
                .map_err(io::Error::other)?;
            let taken = taken_since(before, self.stream.total_in());
            // With room left, all that was taken is out.
            if taken == message.len() && packed.len() < packed.capacity() {
                return Ok(());
            }
        }
    }
}

impl Default for MessagePacker {
    fn default() -> Self {
        Self {
            stream: flate2::Compress::new(flate2::Compression::fast(), false),
        }
    }
}

fn taken_since(before: u64, now: u64) -> usize {
    usize::try_from(now - before).unwrap_or(usize::MAX)
}
