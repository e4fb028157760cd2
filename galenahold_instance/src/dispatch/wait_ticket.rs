//! A request's place in a queue.

use galenahold_routing::queue;
use galenahold_routing::replica;

use crate::dispatch;

/// A request's place in a queue; dropping it gives the place up.
#[derive(Debug)]
pub(crate) struct WaitTicket {
    dispatcher: dispatch::Dispatcher,
    target: replica::ReplicaTarget,
    ticket: queue::QueueTicket,
}

impl WaitTicket {
    /// Takes over a place.
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
        // A place that was served already is no longer there.
        self.dispatcher.cancel(&self.target, self.ticket);
    }
}
