//! HTTP body of an answer: either complete in memory or streamed chunk by chunk.

use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use http_body::{Body, Frame};
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::api;
use crate::buffer;

/// Chunks of a stream that are buffered until the caller's socket accepts them.
const STREAM_BUFFER_CHUNKS: usize = 32;

/// A streamed answer was cut short; the caller's connection is closed without the final chunk.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was cut short"))]
pub(crate) struct StreamCut;

/// The caller of a streamed answer has disconnected.
#[derive(Debug, Snafu)]
#[snafu(display("the caller has disconnected"))]
pub(crate) struct CallerGone;

/// The HTTP body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// The complete body, in memory.
    Whole(bytes::Bytes),
    /// Chunks that are forwarded as they arrive.
    Stream {
        /// The chunks that the caller's socket has not accepted yet.
        chunks: mpsc::Receiver<bytes::Bytes>,
        /// Whether the end of the chunks is the end of the answer.
        complete: sync::Arc<atomic::AtomicBool>,
    },
    /// Events that are read ahead of the caller.
    ReadAhead {
        /// One message for each event in the queue.
        arrivals: mpsc::UnboundedReceiver<()>,
        /// The events that the caller's socket has not accepted yet.
        queue: sync::Arc<buffer::ReadAheadQueue>,
    },
}

impl AnswerBody {
    /// Creates a body from bytes in memory.
    pub(crate) fn whole(bytes: impl Into<bytes::Bytes>) -> Self {
        Self::Whole(bytes.into())
    }

    /// Returns the bytes of a complete body; `None` for a stream.
    pub(crate) fn as_whole(&self) -> Option<&bytes::Bytes> {
        match self {
            Self::Whole(bytes) => Some(bytes),
            Self::Stream { .. } | Self::ReadAhead { .. } => None,
        }
    }

    /// Creates a streamed body and its sending half.
    pub(crate) fn stream() -> (api::StreamSender, Self) {
        let (sender, chunks) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        let complete = sync::Arc::<atomic::AtomicBool>::default();
        let sender = api::StreamSender::new(sender, sync::Arc::clone(&complete));
        (sender, Self::Stream { chunks, complete })
    }

    /// Creates the body of a stream that is read ahead of its caller, and its sending half.
    pub(crate) fn read_ahead(budget: &buffer::ReadAheadBudget) -> (api::ReadAheadSender, Self) {
        let queue = budget.open();
        let (sender, arrivals) = mpsc::unbounded_channel();
        let sender = api::ReadAheadSender::new(sync::Arc::clone(&queue), sender);
        (sender, Self::ReadAhead { arrivals, queue })
    }
}

impl Body for AnswerBody {
    type Data = bytes::Bytes;
    type Error = StreamCut;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<bytes::Bytes>, StreamCut>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => task::Poll::Ready(None),
            Self::Whole(bytes) => {
                let frame = Frame::data(std::mem::take(bytes));
                task::Poll::Ready(Some(Ok(frame)))
            }
            Self::Stream { chunks, complete } => chunks.poll_recv(context).map(|chunk| {
                let ended = || complete.load(atomic::Ordering::Acquire);
                match chunk {
                    Some(chunk) => Some(Ok(Frame::data(chunk))),
                    None => (!ended()).then_some(Err(StreamCut)),
                }
            }),
            Self::ReadAhead { arrivals, queue } => {
                arrivals.poll_recv(context).map(|arrival| match arrival {
                    Some(()) => Some(queue.pop().map(Frame::data).ok_or(StreamCut)),
                    None => (!queue.is_complete()).then_some(Err(StreamCut)),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_empty(),
            Self::Stream { .. } | Self::ReadAhead { .. } => false,
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Whole(bytes) => http_body::SizeHint::with_exact(bytes.len() as u64),
            Self::Stream { .. } | Self::ReadAhead { .. } => http_body::SizeHint::default(),
        }
    }
}
