//! Server-sent events from a stream of bytes.

/// Splits bytes into the data of events.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    buffer: Vec<u8>,
    start: usize,
}

impl EventReader {
    /// Adds received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.start);
        self.start = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the data of the next whole event; other fields and comments are skipped.
    pub(crate) fn next_data(&mut self) -> Option<&[u8]> {
        loop {
            let rest = &self.buffer[self.start..];
            let length = rest.iter().position(|&byte| byte == b'\n')?;
            let line = self.start..self.start + length;
            self.start = line.end + 1;
            if self.buffer[line.clone()].starts_with(b"data: ") {
                let data = line.start + b"data: ".len()..line.end;
                return Some(self.buffer[data].trim_ascii_end());
            }
        }
    }
}
