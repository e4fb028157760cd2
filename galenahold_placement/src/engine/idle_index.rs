//! Index of idle replicas.

use std::collections;
use std::time;

use galenahold_domain::placement;

/// Idle replicas, ordered by the start of their idle time and by the end of their keep-alive time.
#[derive(Debug, Default)]
pub(super) struct IdleIndex {
    by_since: collections::BTreeSet<TimedReplica>,
    by_deadline: collections::BTreeSet<TimedReplica>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimedReplica {
    at: time::Instant,
    id: placement::ReservationId,
}

impl IdleIndex {
    pub(super) fn insert(
        &mut self,
        id: placement::ReservationId,
        since: time::Instant,
        deadline: Option<time::Instant>,
    ) {
        self.by_since.insert(TimedReplica { at: since, id });
        if let Some(at) = deadline {
            self.by_deadline.insert(TimedReplica { at, id });
        }
    }

    pub(super) fn remove(
        &mut self,
        id: placement::ReservationId,
        since: Option<time::Instant>,
        deadline: Option<time::Instant>,
    ) {
        if let Some(at) = since {
            self.by_since.remove(&TimedReplica { at, id });
        }
        if let Some(at) = deadline {
            self.by_deadline.remove(&TimedReplica { at, id });
        }
    }

    /// Removes and returns a replica whose keep-alive time is over.
    pub(super) fn pop_expired(&mut self, now: time::Instant) -> Option<placement::ReservationId> {
        let first = *self.by_deadline.first()?;
        if first.at > now {
            return None;
        }
        self.by_deadline.remove(&first);
        Some(first.id)
    }

    /// Lists idle replicas, the longest idle first.
    pub(super) fn longest_idle(&self) -> impl Iterator<Item = placement::ReservationId> {
        self.by_since.iter().map(|replica| replica.id)
    }
}
