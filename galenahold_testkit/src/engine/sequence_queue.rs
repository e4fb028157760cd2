//! The requests that wait and run at an engine.

use std::collections;
use std::time;

use tokio::sync;

use crate::announce;
use crate::ledger;
use crate::state_lock;

/// One request on its way through the batch.
#[derive(Debug)]
pub(crate) struct Sequence {
    /// Its ledger entry.
    pub(crate) key: ledger::RequestKey,
    /// Its model or adapter.
    pub(crate) model: String,
    /// Its prompt.
    pub(crate) prompt: String,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Lower runs first.
    pub(crate) priority: i64,
    /// The next output token.
    pub(crate) next: u64,
    /// The number of output tokens at the end.
    pub(crate) end: u64,
    /// Output token at which it stands still on purpose.
    pub(crate) stall_at: Option<u64>,
    /// When its prefill is done.
    pub(crate) prefilled_at: Option<time::Instant>,
    /// Takes one message for each token; closed by a cancelled request.
    pub(crate) tokens: sync::mpsc::UnboundedSender<()>,
}

impl Sequence {
    /// Returns the tokens not yet computed.
    fn outstanding_tokens(&self) -> u64 {
        let output = self.end - self.next;
        if self.prefilled_at.is_some() {
            output
        } else {
            output + self.prompt_tokens
        }
    }

    /// Tells whether the caller has gone.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.tokens.is_closed()
    }
}

/// Orders waiting requests by priority, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    priority: i64,
    arrival: u64,
}

/// The waiting and the running requests.
#[derive(Debug, Default)]
pub(crate) struct BatchState {
    waiting: collections::BTreeMap<QueuePosition, Sequence>,
    /// The batch.
    pub(crate) running: Vec<Sequence>,
    arrivals: u64,
}

impl BatchState {
    /// Takes the request that runs next.
    pub(crate) fn pop_waiting(&mut self) -> Option<Sequence> {
        self.waiting.pop_first().map(|(_, sequence)| sequence)
    }

    /// Removes and returns all requests whose callers have gone.
    pub(crate) fn take_cancelled(&mut self) -> Vec<Sequence> {
        let waiting = self
            .waiting
            .extract_if(.., |_, sequence| sequence.is_cancelled())
            .map(|(_, sequence)| sequence);
        let running = self
            .running
            .extract_if(.., |sequence| sequence.is_cancelled());
        waiting.chain(running).collect()
    }
}

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
        if state.waiting.len() >= max_queue {
            return Some(sequence);
        }
        let position = QueuePosition {
            priority: sequence.priority,
            arrival: state.arrivals,
        };
        state.arrivals += 1;
        state.waiting.insert(position, sequence);
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
        let state = self.state.lock();
        let sequences = state.waiting.values().chain(&state.running);
        announce::LoadReport {
            running: state.running.len() as u64,
            queued: state.waiting.len() as u64,
            outstanding_tokens: sequences.map(Sequence::outstanding_tokens).sum(),
        }
    }
}
