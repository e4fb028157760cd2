//! The body of an engine's answer.

use std::io;
use std::pin;
use std::task;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

use super::event_stream::EventStream;

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
