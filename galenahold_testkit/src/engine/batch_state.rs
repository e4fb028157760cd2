//! The waiting and the running requests.

use std::collections;

use super::sequence::Sequence;
use crate::announce;

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
    /// Counts the waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request behind all of its priority.
    pub(crate) fn push_waiting(&mut self, sequence: Sequence) {
        let position = QueuePosition {
            priority: sequence.priority,
            arrival: self.arrivals,
        };
        self.arrivals += 1;
        self.waiting.insert(position, sequence);
    }

    /// Returns the present load.
    pub(crate) fn load(&self) -> announce::LoadReport {
        let sequences = self.waiting.values().chain(&self.running);
        announce::LoadReport {
            running: self.running.len() as u64,
            queued: self.waiting.len() as u64,
            outstanding_tokens: sequences.map(Sequence::outstanding_tokens).sum(),
        }
    }

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
