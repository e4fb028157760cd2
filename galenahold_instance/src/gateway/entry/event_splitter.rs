//! Parser of event streams.

use crate::buffer;
use crate::entry;

/// Maximum size of a single event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Prefix of the line with an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Splits an event stream into complete events, so that no partial event is ever forwarded.
#[derive(Debug)]
pub(super) struct EventSplitter {
    buffer: bytes::BytesMut,
    share: buffer::BufferShare,
}

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SplitEvent {
    /// The bytes of the event, including the blank line that ends it.
    pub(super) bytes: bytes::Bytes,
    /// The event's id, if it has one.
    pub(super) id: Option<String>,
}

impl EventSplitter {
    /// Creates a splitter whose buffered bytes count against a budget.
    pub(super) fn new(share: buffer::BufferShare) -> Self {
        Self {
            buffer: bytes::BytesMut::new(),
            share,
        }
    }

    /// Appends a chunk of the stream; returns `false` if an event exceeds the maximum size, or the
    /// budget is used up.
    pub(super) fn push(&mut self, chunk: &[u8]) -> bool {
        let fits =
            self.buffer.len() + chunk.len() <= MAX_EVENT_BYTES && self.share.grow(chunk.len());
        if fits {
            self.buffer.extend_from_slice(chunk);
        }
        fits
    }

    /// Removes and returns the next complete event.
    pub(super) fn next_event(&mut self) -> Option<SplitEvent> {
        let length = entry::event_length(&self.buffer)?;
        let bytes = self.buffer.split_to(length).freeze();
        let bytes = buffer::SharedBytes::bind(bytes, self.share.split(length));
        let id = event_id(&bytes);
        Some(SplitEvent { bytes, id })
    }

    /// Returns whether no bytes remain after the last complete event.
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
