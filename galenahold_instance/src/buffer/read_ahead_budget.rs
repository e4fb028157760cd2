//! Memory of events that callers have not read yet.

use std::collections;
use std::sync;
use std::time;

use galenahold_routing::relay;
use log::info;

use crate::buffer;
use crate::platform;

/// The bytes that one event takes beside its content: its place in the queue and its owner.
const EVENT_OVERHEAD_BYTES: usize = 128;

/// Bounds the events that are held for callers who read slowly, for each stream and for all of an instance.
#[derive(Debug, Clone)]
pub(crate) struct ReadAheadBudget {
    state: sync::Arc<sync::Mutex<BudgetState>>,
    metrics: platform::FleetMetrics,
}

#[derive(Debug)]
struct BudgetState {
    ledger: relay::ReadAheadLedger,
    queues: collections::HashMap<relay::StreamKey, sync::Weak<buffer::ReadAheadQueue>>,
}

/// What a stream is told that wants to hold an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HoldOutcome {
    Held,
    StreamFull,
    /// The stream is ended, since its caller is the furthest behind.
    Ended,
}

impl ReadAheadBudget {
    /// Creates a budget without streams.
    pub(crate) fn new(limits: relay::ReadAheadLimits, metrics: platform::FleetMetrics) -> Self {
        let state = BudgetState {
            ledger: relay::ReadAheadLedger::new(limits),
            queues: collections::HashMap::new(),
        };
        Self {
            state: sync::Arc::new(sync::Mutex::new(state)),
            metrics,
        }
    }

    /// Adds a stream and returns the queue of its events.
    pub(crate) fn open(&self) -> sync::Arc<buffer::ReadAheadQueue> {
        let mut state = self.lock();
        let key = state.ledger.open();
        let queue = sync::Arc::new(buffer::ReadAheadQueue::new(self.clone(), key));
        state.queues.insert(key, sync::Arc::downgrade(&queue));
        queue
    }

    /// Holds an event of a stream; ends the slowest readers' streams while memory is short.
    pub(super) fn hold(&self, key: relay::StreamKey, event_bytes: usize) -> HoldOutcome {
        let bytes = event_bytes + EVENT_OVERHEAD_BYTES;
        loop {
            let now = time::Instant::now();
            let mut state = self.lock();
            let slowest = match state.ledger.hold(key, bytes, now) {
                relay::ReadAheadStep::Held => {
                    self.observe(&state);
                    return HoldOutcome::Held;
                }
                relay::ReadAheadStep::StreamFull => {
                    self.metrics.read_ahead_full.inc();
                    return HoldOutcome::StreamFull;
                }
                relay::ReadAheadStep::EndFirst(slowest) => slowest,
            };
            let lag = state.ledger.lag(slowest, now);
            let stream_bytes = state.ledger.stream_bytes(slowest);
            let total_bytes = state.ledger.held_bytes();
            state.ledger.end(slowest);
            let queue = state.queues.get(&slowest).and_then(sync::Weak::upgrade);
            drop(state);
            if let Some(queue) = queue {
                queue.end();
            }
            self.metrics.slow_readers.inc();
            info!(
                behind_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX),
                stream_bytes = stream_bytes,
                total_bytes = total_bytes;
                "stream of the slowest reader ended for want of memory"
            );
            if slowest == key {
                return HoldOutcome::Ended;
            }
        }
    }

    /// Releases the oldest events of a stream.
    pub(super) fn release(&self, key: relay::StreamKey, events: usize) {
        let mut state = self.lock();
        for _ in 0..events {
            state.ledger.release(key);
        }
        self.observe(&state);
    }

    /// Removes a stream.
    pub(super) fn close(&self, key: relay::StreamKey) {
        let mut state = self.lock();
        state.ledger.close(key);
        state.queues.remove(&key);
        self.observe(&state);
    }

    fn observe(&self, state: &BudgetState) {
        let held_bytes = i64::try_from(state.ledger.held_bytes()).unwrap_or(i64::MAX);
        self.metrics.read_ahead_bytes.set(held_bytes);
    }

    fn lock(&self) -> sync::MutexGuard<'_, BudgetState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
