//! The sending half of a stream that is read ahead of its caller.

use std::sync;

use snafu::Snafu;
use tokio::sync::mpsc;

use crate::buffer;

/// Why an event of a stream cannot be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum SendError {
    /// The caller has disconnected.
    #[snafu(display("the caller has disconnected"))]
    CallerGone,
    /// The stream was ended, since its caller reads slowly and memory is short.
    #[snafu(display("the caller reads too slowly"))]
    SlowReader,
}

/// Sends the events of a stream, which are held until the caller's connection takes them.
///
/// The answer counts as cut short unless [`finish`](Self::finish) is called before the sender is dropped.
#[derive(Debug)]
pub(crate) struct ReadAheadSender {
    queue: sync::Arc<buffer::ReadAheadQueue>,
    /// One message for each event in the queue.
    arrivals: mpsc::UnboundedSender<()>,
}

impl ReadAheadSender {
    pub(super) fn new(
        queue: sync::Arc<buffer::ReadAheadQueue>,
        arrivals: mpsc::UnboundedSender<()>,
    ) -> Self {
        Self { queue, arrivals }
    }

    /// Sends an event; waits while the stream holds as much as it may.
    ///
    /// # Errors
    ///
    /// The caller has disconnected, or the stream was ended for want of memory.
    pub(crate) async fn send(&self, event: bytes::Bytes) -> Result<(), SendError> {
        if !self.queue.push(event).await {
            return Err(SendError::SlowReader);
        }
        self.arrivals.send(()).map_err(|_| SendError::CallerGone)
    }

    /// Returns when the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.arrivals.closed().await;
    }

    /// Returns when the stream was ended for want of memory.
    pub(crate) async fn ended(&self) {
        self.queue.wait_until_ended().await;
    }

    /// Marks the answer as complete: its end is sent after the events that are still held.
    pub(crate) fn finish(&self) {
        self.queue.finish();
    }
}
