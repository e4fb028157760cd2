//! Splits an event stream into whole events.

use crate::entry;

/// The largest single event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The field that names an event.
const ID_FIELD: &[u8] = b"id:";

/// Splits an event stream into whole events, so that none is ever passed on by half.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: bytes::BytesMut,
}

/// A whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SplitEvent {
    /// Its bytes with the blank line.
    pub(super) bytes: bytes::Bytes,
    /// Its id, if it has one.
    pub(super) id: Option<String>,
}

impl EventSplitter {
    /// Takes up a piece of the stream; false if an event grew too large.
    pub(super) fn push(&mut self, chunk: &[u8]) -> bool {
        let fits = self.buffer.len() + chunk.len() <= MAX_EVENT_BYTES;
        if fits {
            self.buffer.extend_from_slice(chunk);
        }
        fits
    }

    /// Takes the next whole event out.
    pub(super) fn next_event(&mut self) -> Option<SplitEvent> {
        let length = entry::event_length(&self.buffer)?;
        let bytes = self.buffer.split_to(length).freeze();
        let id = event_id(&bytes);
        Some(SplitEvent { bytes, id })
    }

    /// Returns whether nothing is left behind the last whole event.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

fn event_id(event: &[u8]) -> Option<String> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line.trim_ascii())
        .ok()
        .map(str::to_owned)
}
