//! Parser of server-sent event streams from engines.

use serde::Deserialize;

use crate::buffer;

/// The maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The data of the event that marks the end of a stream.
const END_OF_STREAM_DATA: &[u8] = b"[DONE]";

/// Splits a server-sent event stream into events, regardless of chunk boundaries.
#[derive(Debug)]
pub(crate) struct EventScanner {
    buffer: bytes::BytesMut,
    share: buffer::BufferShare,
}

/// One complete event, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StreamEvent {
    /// The bytes of the event, unchanged.
    pub(crate) bytes: bytes::Bytes,
    /// The kind of the event.
    pub(crate) kind: EventKind,
}

/// The kind of an event in a model's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// Generated output, counted as one token.
    Output,
    /// The first event of a chat answer, which states the role and has no output yet.
    Opening,
    /// The token counts at the end of a stream, without output.
    Usage {
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens of the output.
        completion_tokens: u64,
    },
    /// An error that the engine reports within the stream.
    Error,
    /// The end of the stream.
    End,
    /// A comment, or an event that has none of the other kinds.
    Other,
}

/// The error of an event that exceeds the maximum size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

#[derive(Debug, Deserialize)]
struct ChunkDocument {
    #[serde(default)]
    choices: Vec<ChoiceDocument>,
    #[serde(default)]
    usage: Option<UsageDocument>,
    #[serde(default)]
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct ChoiceDocument {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<DeltaDocument>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct DeltaDocument {
    #[serde(default)]
    content: Option<String>,
}

impl ChoiceDocument {
    fn has_output(&self) -> bool {
        let delta = self.delta.as_ref();
        let content = delta.and_then(|delta| delta.content.as_deref());
        let text = self.text.as_deref();
        content.or(text).is_some_and(|output| !output.is_empty())
    }
}

/// The token counts that an engine reports for an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub(crate) struct UsageDocument {
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Tokens of the output.
    pub(crate) completion_tokens: u64,
}

impl EventScanner {
    /// Creates a scanner whose buffered bytes count against a budget.
    pub(crate) fn new(share: buffer::BufferShare) -> Self {
        Self {
            buffer: bytes::BytesMut::new(),
            share,
        }
    }

    /// Appends a chunk of the stream to the buffer.
    ///
    /// # Errors
    ///
    /// The buffered bytes would exceed the maximum size of an event, or the budget.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Result<(), EventTooLarge> {
        let fits =
            self.buffer.len() + chunk.len() <= MAX_EVENT_BYTES && self.share.grow(chunk.len());
        if !fits {
            return Err(EventTooLarge);
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// Removes and returns the next complete event; `None` if the buffer has none.
    pub(crate) fn next_event(&mut self) -> Option<StreamEvent> {
        let length = event_length(&self.buffer)?;
        let bytes = self.buffer.split_to(length).freeze();
        let bytes = buffer::SharedBytes::bind(bytes, self.share.split(length));
        let kind = event_kind(&bytes);
        Some(StreamEvent { bytes, kind })
    }
}

/// Returns the length of the first complete event, including the blank line that ends it.
pub(crate) fn event_length(buffer: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(offset) = buffer[start..].iter().position(|byte| *byte == b'\n') {
        let next = start + offset + 1;
        match buffer.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => start = next,
        }
    }
    None
}

fn event_kind(event: &[u8]) -> EventKind {
    let Some(data) = event_data(event) else {
        return EventKind::Other;
    };
    if data == END_OF_STREAM_DATA {
        return EventKind::End;
    }
    let Ok(document) = serde_json::from_slice::<ChunkDocument>(data) else {
        return EventKind::Other;
    };
    if document.error.is_some() {
        return EventKind::Error;
    }
    if document.choices.iter().any(ChoiceDocument::has_output) {
        return EventKind::Output;
    }
    if let Some(choice) = document.choices.first() {
        return match choice.finish_reason {
            Some(_) => EventKind::Other,
            None => EventKind::Opening,
        };
    }
    match document.usage {
        Some(usage) => EventKind::Usage {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
        },
        None => EventKind::Other,
    }
}

fn event_data(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}
