//! Buffers cache events that are gossiped to other instances.

use std::collections;
use std::sync;

use galenahold_domain::server;

/// The maximum number of events kept for instances that receive them late.
const MAX_EVENTS: usize = 4_096;

/// A bounded log of the cache events that backend servers sent to this instance. When it is full, the oldest
/// event is dropped; an instance that missed the event sees a gap in the sequence.
#[derive(Debug, Clone, Default)]
pub(crate) struct EventLog {
    events: sync::Arc<sync::Mutex<EventTable>>,
}

#[derive(Debug, Default)]
struct EventTable {
    first: u64,
    events: collections::VecDeque<server::CacheEvent>,
}

/// The events from a position on, and the next position.
#[derive(Debug)]
pub(crate) struct EventDelta {
    /// The position after the last event.
    pub(crate) next: u64,
    /// The events.
    pub(crate) events: Vec<server::CacheEvent>,
}

impl EventLog {
    /// Appends an event.
    pub(crate) fn push(&self, event: server::CacheEvent) {
        let mut table = self.lock();
        table.events.push_back(event);
        if table.events.len() > MAX_EVENTS {
            table.events.pop_front();
            table.first += 1;
        }
    }

    /// Returns the events from `position` on.
    pub(crate) fn since(&self, position: u64) -> EventDelta {
        let table = self.lock();
        let skipped = usize::try_from(position.saturating_sub(table.first)).unwrap_or(usize::MAX);
        EventDelta {
            next: table.first + table.events.len() as u64,
            events: table.events.iter().skip(skipped).cloned().collect(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, EventTable> {
        self.events
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
