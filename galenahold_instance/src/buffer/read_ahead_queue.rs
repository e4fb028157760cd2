//! The events of one stream that its caller has not read yet.

use std::collections;
use std::sync;
use std::sync::atomic;

use galenahold_routing::relay;
use tokio::sync as tokio_sync;
use tokio_util::sync::CancellationToken;

use crate::buffer;
use crate::buffer::read_ahead_budget::HoldOutcome;

/// The events of one stream between its relay and its caller's connection.
#[derive(Debug)]
pub(crate) struct ReadAheadQueue {
    budget: buffer::ReadAheadBudget,
    key: relay::StreamKey,
    events: sync::Mutex<collections::VecDeque<bytes::Bytes>>,
    /// Notified when the caller's connection has taken an event.
    room: tokio_sync::Notify,
    ended: CancellationToken,
    complete: atomic::AtomicBool,
}

/// An event on its way into the caller's connection; dropping it releases its memory.
struct TakenEvent {
    queue: sync::Arc<ReadAheadQueue>,
    bytes: bytes::Bytes,
}

impl ReadAheadQueue {
    pub(super) fn new(budget: buffer::ReadAheadBudget, key: relay::StreamKey) -> Self {
        Self {
            budget,
            key,
            events: sync::Mutex::default(),
            room: tokio_sync::Notify::new(),
            ended: CancellationToken::new(),
            complete: atomic::AtomicBool::new(false),
        }
    }

    /// Adds an event, once the stream may hold it; returns `false` if the stream was ended.
    pub(crate) async fn push(&self, event: bytes::Bytes) -> bool {
        loop {
            let room = self.room.notified();
            if self.ended.is_cancelled() {
                return false;
            }
            match self.budget.hold(self.key, event.len()) {
                HoldOutcome::Held => {
                    self.lock().push_back(event);
                    return true;
                }
                HoldOutcome::StreamFull => room.await,
                HoldOutcome::Ended => return false,
            }
        }
    }

    /// Removes the next event; `None` if the stream was ended.
    pub(crate) fn pop(self: &sync::Arc<Self>) -> Option<bytes::Bytes> {
        let bytes = self.lock().pop_front()?;
        Some(bytes::Bytes::from_owner(TakenEvent {
            queue: sync::Arc::clone(self),
            bytes,
        }))
    }

    /// Ends the stream and drops its events; its answer never looks complete.
    pub(super) fn end(&self) {
        self.ended.cancel();
        let events = std::mem::take(&mut *self.lock());
        self.budget.release(self.key, events.len());
    }

    /// Returns once the stream was ended for want of memory.
    pub(crate) async fn wait_until_ended(&self) {
        self.ended.cancelled().await;
    }

    /// Marks the answer as complete.
    pub(crate) fn finish(&self) {
        self.complete.store(true, atomic::Ordering::Release);
    }

    /// Returns whether the end of the events is the end of the answer.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete.load(atomic::Ordering::Acquire) && !self.ended.is_cancelled()
    }

    fn release(&self) {
        self.budget.release(self.key, 1);
        self.room.notify_waiters();
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::VecDeque<bytes::Bytes>> {
        self.events
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for ReadAheadQueue {
    fn drop(&mut self) {
        self.budget.close(self.key);
    }
}

impl AsRef<[u8]> for TakenEvent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for TakenEvent {
    fn drop(&mut self) {
        self.queue.release();
    }
}
