//! Splits an event stream into its events.

use serde::Deserialize;

/// The largest single event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The data of the event that ends a stream.
const END_OF_STREAM_DATA: &[u8] = b"[DONE]";

/// Splits an event stream into its events, however the pieces fall.
#[derive(Debug, Default)]
pub(crate) struct EventScanner {
    buffer: bytes::BytesMut,
}

/// One whole event with its blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StreamEvent {
    /// The bytes, as they came.
    pub(crate) bytes: bytes::Bytes,
    /// What the event is.
    pub(crate) kind: EventKind,
}

/// What an event of a model's answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// Output, counted as one token.
    Output,
    /// The first event of a chat, which says who speaks and holds no output yet.
    Opening,
    /// The counts at the end, without output.
    Usage {
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens of the output.
        completion_tokens: u64,
    },
    /// An error that the engine met in the middle of the stream.
    Error,
    /// The mark of the end.
    End,
    /// A comment or something else.
    Other,
}

/// An event was larger than allowed.
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

/// The token counts of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub(crate) struct UsageDocument {
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Tokens of the output.
    pub(crate) completion_tokens: u64,
}

impl EventScanner {
    /// Takes up a piece of the stream.
    ///
    /// # Errors
    ///
    /// An event grew larger than allowed.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Result<(), EventTooLarge> {
        if self.buffer.len() + chunk.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// Takes the next whole event out.
    pub(crate) fn next_event(&mut self) -> Option<StreamEvent> {
        let length = event_length(&self.buffer)?;
        let bytes = self.buffer.split_to(length).freeze();
        let kind = event_kind(&bytes);
        Some(StreamEvent { bytes, kind })
    }
}

/// Returns the length of the first whole event with its blank line.
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
