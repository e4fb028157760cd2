//! The sending half of a streamed body.

use std::sync;
use std::sync::atomic;

use tokio::sync::mpsc;

use crate::api;

/// Sends the chunks of a streamed answer.
///
/// The answer counts as cut short unless [`finish`](Self::finish) is called before the last clone is
/// dropped, so that an answer whose relay ends unexpectedly never looks complete.
#[derive(Debug, Clone)]
pub(crate) struct StreamSender {
    chunks: mpsc::Sender<bytes::Bytes>,
    complete: sync::Arc<atomic::AtomicBool>,
}

impl StreamSender {
    /// Creates the sending half; `complete` is shared with the body.
    pub(super) fn new(
        chunks: mpsc::Sender<bytes::Bytes>,
        complete: sync::Arc<atomic::AtomicBool>,
    ) -> Self {
        Self { chunks, complete }
    }

    /// Sends a chunk once the caller's connection has room for it.
    ///
    /// # Errors
    ///
    /// The caller has disconnected.
    pub(crate) async fn send(&self, chunk: bytes::Bytes) -> Result<(), api::CallerGone> {
        self.chunks.send(chunk).await.map_err(|_| api::CallerGone)
    }

    /// Returns when the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Marks the answer as complete: its end is sent after the chunks that are still buffered.
    pub(crate) fn finish(&self) {
        self.complete.store(true, atomic::Ordering::Release);
    }
}
