//! Server-sent events, one for each token.

use std::io;
use std::task;

use bytes::Bytes;
use tokio::sync::mpsc;

use super::AnswerText;
use super::event_format::{EventFormat, usage_json};

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
    pub(crate) fn poll_events(
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
