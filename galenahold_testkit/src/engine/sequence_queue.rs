//! The way of requests into the batch.

use tokio::sync;

use super::batch_state::BatchState;
use super::sequence::Sequence;
use crate::announce;
use crate::state_lock;

/// Holds the batch of one engine.
#[derive(Debug, Default)]
pub(crate) struct SequenceQueue {
    /// The waiting and the running requests.
    pub(crate) state: state_lock::StateLock<BatchState>,
    arrived: sync::Notify,
}

impl SequenceQueue {
    /// Queues a request; gives it back when `max_queue` requests wait.
    pub(crate) fn push(&self, sequence: Sequence, max_queue: usize) -> Option<Sequence> {
        let mut state = self.state.lock();
        if state.waiting() >= max_queue {
            return Some(sequence);
        }
        state.push_waiting(sequence);
        drop(state);
        self.arrived.notify_one();
        None
    }

    /// Waits for the next arrival.
    pub(crate) async fn wait_arrival(&self) {
        self.arrived.notified().await;
    }

    /// Returns the present load.
    pub(crate) fn load(&self) -> announce::LoadReport {
        self.state.lock().load()
    }
}
