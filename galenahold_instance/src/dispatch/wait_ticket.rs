//! Queue entry of a waiting request.

use galenahold_routing::queue;
use galenahold_routing::replica;

use crate::dispatch;

/// A request's entry in a queue; dropping the ticket removes the entry.
#[derive(Debug)]
pub(crate) struct WaitTicket {
    dispatcher: dispatch::Dispatcher,
    target: replica::ReplicaTarget,
    ticket: queue::QueueTicket,
}

impl WaitTicket {
    /// Creates the ticket of a queued request.
    pub(super) fn new(
        dispatcher: dispatch::Dispatcher,
        target: replica::ReplicaTarget,
        ticket: queue::QueueTicket,
    ) -> Self {
        Self {
            dispatcher,
            target,
            ticket,
        }
    }
}

impl Drop for WaitTicket {
    fn drop(&mut self) {
        // Cancelling has no effect on a request that has already left the queue.
        self.dispatcher.cancel(&self.target, self.ticket);
    }
}
