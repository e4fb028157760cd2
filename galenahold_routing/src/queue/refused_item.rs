//! The error of a push to a queue.

use crate::queue;

/// An item that was not queued, returned with the reason.
#[derive(Debug)]
pub struct RefusedItem<T> {
    /// Why it was not queued.
    pub refusal: queue::QueueRefusal,
    /// The item.
    pub item: T,
}
