//! An item that left a queue.

use std::time;

use crate::queue;

/// An item that left a queue.
#[derive(Debug)]
pub struct QueuedItem<T> {
    /// The ticket that it had.
    pub ticket: queue::QueueTicket,
    /// What the queue knew of it.
    pub entry: queue::QueueEntry,
    /// When it was queued.
    pub queued_at: time::Instant,
    /// The item.
    pub item: T,
}
