//! Cache events on their way to other instances and to the replica table.

use std::collections;
use std::sync;

use galenahold_domain::server;

/// Events that are kept for instances that are slow to take them.
const MAX_EVENTS: usize = 4_096;

/// Cache events that backend servers sent to this instance. The oldest are dropped when it is full;
/// whoever missed them sees a gap in their sequence.
#[derive(Debug, Clone, Default)]
pub(crate) struct EventLog {
    events: sync::Arc<sync::Mutex<EventTable>>,
}

#[derive(Debug, Default)]
struct EventTable {
    first: u64,
    events: collections::VecDeque<server::CacheEvent>,
}

/// Events after a position, and the position that follows them.
#[derive(Debug)]
pub(crate) struct EventDelta {
    /// The position that follows.
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
