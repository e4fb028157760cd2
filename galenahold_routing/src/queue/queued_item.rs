//! An item as it leaves a queue.

use std::time;

use crate::queue;

/// An item that was removed from a queue, with its attributes.
#[derive(Debug)]
pub struct QueuedItem<T> {
    /// The ticket of the item.
    pub ticket: queue::QueueTicket,
    /// The attributes that it was queued with.
    pub entry: queue::QueueEntry,
    /// When it was queued.
    pub queued_at: time::Instant,
    /// The item.
    pub item: T,
}
