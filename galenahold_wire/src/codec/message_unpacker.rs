//! Unpacks the messages of one direction of a connection.

use std::io;

/// Room that a message grows by, in bytes.
const GROWTH: usize = 4 * 1024;

/// Unpacks the messages of one direction of a connection.
#[derive(Debug)]
pub(super) struct MessageUnpacker {
    stream: flate2::Decompress,
}

impl MessageUnpacker {
    /// Returns a message from its packed form.
    ///
    /// # Errors
    ///
    /// The bytes are no packed message, or it has more than `max_bytes`.
    pub(super) fn unpack(&mut self, packed: &[u8], max_bytes: usize) -> io::Result<Vec<u8>> {
        let mut message = Vec::with_capacity(packed.len() * 4);
        let before = self.stream.total_in();
        let mut taken = 0;
        loop {
            message.reserve(GROWTH);
            let held = message.len();
            let rest = &packed[taken..];
            self.stream
                .decompress_vec(rest, &mut message, flate2::FlushDecompress::Sync)
                .map_err(|error| invalid(&error.to_string()))?;
            let taken_now = usize::try_from(self.stream.total_in() - before).unwrap_or(usize::MAX);
            let stalled = message.len() == held && taken_now == taken;
            taken = taken_now;
            if message.len() > max_bytes {
                return Err(invalid("the unpacked message is too large"));
            }
            // With room left, all that was taken is out.
            if taken == packed.len() && message.len() < message.capacity() {
                return Ok(message);
            }
            if stalled {
                return Err(invalid("the stream of packed messages has ended"));
            }
        }
    }
}

impl Default for MessageUnpacker {
    fn default() -> Self {
        Self {
            stream: flate2::Decompress::new(false),
        }
    }
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}
