//! The body of an engine's answer.

use std::fmt::Write;
use std::io;
use std::pin;
use std::task;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use tokio::sync::mpsc;

use super::AnswerText;

/// What the events of a stream carry besides the tokens.
#[derive(Debug)]
pub(crate) struct EventFormat {
    /// The id of the answer.
    pub(crate) id: String,
    /// The request id that the answer echoes.
    pub(crate) echoed_id: String,
    /// The model as asked for.
    pub(crate) model: String,
    /// Whether it is a chat.
    pub(crate) chat: bool,
    /// Whether the answer comes as events.
    pub(crate) wants_events: bool,
    /// Whether the usage comes before the end.
    pub(crate) includes_usage: bool,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Why the answer ends.
    pub(crate) finish_reason: &'static str,
}

/// A stream of server-sent events, one for each token.
#[derive(Debug)]
pub(crate) struct EventStream {
    /// What the events carry.
    pub(crate) format: EventFormat,
    /// The answer.
    pub(crate) text: AnswerText,
    /// The next token.
    pub(crate) next: u64,
    /// The number of tokens at the end.
    pub(crate) end: u64,
    /// The token before which the connection is cut on purpose.
    pub(crate) cut_at: Option<u64>,
    /// Whether the events before the cut were written out.
    pub(crate) cut_flushed: bool,
    /// Brings one message for each token.
    pub(crate) tokens: mpsc::UnboundedReceiver<()>,
    /// Whether the last event was sent.
    pub(crate) done: bool,
}

impl EventStream {
    /// Collects all events that are due.
    fn poll_events(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<Bytes>>> {
        let mut events = String::new();
        while self.next < self.end {
            if self.cut_at.is_some_and(|cut| self.next >= cut) && events.is_empty() {
                return self.poll_cut(context);
            }
            match self.tokens.poll_recv(context) {
                task::Poll::Ready(Some(())) => self.write_token(&mut events),
                task::Poll::Ready(None) if events.is_empty() => {
                    return task::Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())));
                }
                task::Poll::Pending if events.is_empty() => return task::Poll::Pending,
                _ => break,
            }
            if self.cut_at.is_some_and(|cut| self.next >= cut) {
                break;
            }
        }
        if self.next >= self.end && !self.done {
            self.write_end(&mut events);
        }
        if events.is_empty() {
            return task::Poll::Ready(None);
        }
        task::Poll::Ready(Some(Ok(Bytes::from(events))))
    }

    /// Fails once the events before the cut had a chance to leave.
    fn poll_cut(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<Bytes>>> {
        if self.cut_flushed {
            return task::Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
        }
        self.cut_flushed = true;
        context.waker().wake_by_ref();
        task::Poll::Pending
    }

    fn write_token(&mut self, events: &mut String) {
        let token = self.text.token(self.next);
        let choice = if self.format.chat {
            format!(r#"{{"index":0,"delta":{{"content":"{token}"}},"finish_reason":null}}"#)
        } else {
            format!(r#"{{"index":0,"text":"{token}","finish_reason":null}}"#)
        };
        self.format.write_event(events, &choice, "");
        self.next += 1;
    }

    fn write_end(&mut self, events: &mut String) {
        let reason = self.format.finish_reason;
        let choice = if self.format.chat {
            format!(r#"{{"index":0,"delta":{{}},"finish_reason":"{reason}"}}"#)
        } else {
            format!(r#"{{"index":0,"text":"","finish_reason":"{reason}"}}"#)
        };
        self.format.write_event(events, &choice, "");
        if self.format.includes_usage {
            let usage = format!(
                r#","usage":{}"#,
                usage_json(self.format.prompt_tokens, self.end)
            );
            self.format.write_event(events, "", &usage);
        }
        events.push_str("data: [DONE]\n\n");
        self.done = true;
    }
}

impl EventFormat {
    /// Appends one event with at most one choice.
    fn write_event(&self, events: &mut String, choice: &str, rest: &str) {
        let object = if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let model = serde_json::Value::from(self.model.as_str());
        let id = serde_json::Value::from(self.id.as_str());
        // Writing to a string cannot fail.
        let _ = write!(
            events,
            "data: {{\"id\":{id},\"object\":\"{object}\",\"created\":0,\"model\":{model},\"choices\":[{choice}]{rest}}}\n\n",
        );
    }

    /// Returns the whole answer as one JSON text.
    pub(crate) fn whole_answer(&self, text: &str, completion_tokens: u64) -> serde_json::Value {
        let (object, choice) = if self.chat {
            let message = serde_json::json!({"role": "assistant", "content": text});
            (
                "chat.completion",
                serde_json::json!({"index": 0, "message": message, "finish_reason": self.finish_reason}),
            )
        } else {
            (
                "text_completion",
                serde_json::json!({"index": 0, "text": text, "finish_reason": self.finish_reason}),
            )
        };
        serde_json::json!({
            "id": self.id,
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": usage_json(self.prompt_tokens, completion_tokens),
        })
    }
}

/// Returns the usage of an answer.
fn usage_json(prompt_tokens: u64, completion_tokens: u64) -> serde_json::Value {
    serde_json::json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    })
}

/// A whole answer or a stream.
#[derive(Debug)]
pub(crate) enum EventBody {
    /// All of it at once.
    Whole(Full<Bytes>),
    /// Token by token.
    Events(Box<EventStream>),
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Whole(body) => pin::Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Self::Events(stream) => stream
                .poll_events(context)
                .map(|events| events.map(|events| events.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Events(stream) => stream.done,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}
