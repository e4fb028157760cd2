//! The items of one team within a fair queue.

use std::cmp;
use std::collections;

use crate::queue;

/// The waiting items of one team, with its virtual start time.
#[derive(Debug)]
pub(super) struct TeamSubqueue {
    pub(super) weight: f64,
    /// The virtual time at which the team's next item starts.
    pub(super) start: VirtualTime,
    pub(super) items: collections::BTreeSet<TeamPosition>,
    pub(super) tokens: u64,
    pub(super) bytes: u64,
}

/// The position of an item within its team: by priority, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TeamPosition {
    pub(super) priority: i32,
    pub(super) sequence: u64,
    pub(super) ticket: queue::QueueTicket,
}

/// Virtual time, in tokens per unit of weight.
#[derive(Debug, Clone, Copy)]
pub(super) struct VirtualTime(pub(super) f64);

impl PartialEq for VirtualTime {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for VirtualTime {}

impl PartialOrd for VirtualTime {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for VirtualTime {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}
