//! HTTP body of an answer: either complete in memory or streamed chunk by chunk.

use std::pin;
use std::task;

use http_body::{Body, Frame};
use snafu::Snafu;
use tokio::sync::mpsc;

/// Chunks of a stream that are buffered until the caller's socket accepts them.
const STREAM_BUFFER_CHUNKS: usize = 32;

/// The backend server cut a streamed answer short; the caller's connection is closed without the
/// final chunk.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was cut short at the backend server"))]
pub(crate) struct StreamCut;

/// The sending half of a streamed body; it is closed once the caller disconnects.
pub(crate) type StreamSender = mpsc::Sender<Result<bytes::Bytes, StreamCut>>;

/// The HTTP body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// The complete body, in memory.
    Whole(bytes::Bytes),
    /// Chunks that are forwarded as they arrive.
    Stream(mpsc::Receiver<Result<bytes::Bytes, StreamCut>>),
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
            Self::Stream(_) => None,
        }
    }

    /// Creates a streamed body and its sending half.
    pub(crate) fn stream() -> (StreamSender, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        (sender, Self::Stream(receiver))
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
            Self::Stream(receiver) => receiver
                .poll_recv(context)
                .map(|chunk| chunk.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_empty(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Whole(bytes) => http_body::SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(_) => http_body::SizeHint::default(),
        }
    }
}
