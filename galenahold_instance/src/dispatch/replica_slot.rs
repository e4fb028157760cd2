//! Capacity reserved at a replica for one request.

use std::time;

use galenahold_domain::amount;
use galenahold_routing::replica;

use crate::backend;
use crate::dispatch;

/// The capacity reserved for one request at one replica; dropping the slot releases it.
#[derive(Debug)]
pub(crate) struct ReplicaSlot {
    pub(super) dispatcher: dispatch::Dispatcher,
    pub(super) target: replica::ReplicaTarget,
    pub(super) replica: replica::ReplicaKey,
    pub(super) server: replica::ServerKey,
    pub(super) tokens: amount::TokenCount,
    pub(super) address: backend::BackendAddress,
    pub(super) outcome: AttemptOutcome,
    pub(super) taken_at: time::Instant,
}

/// What the result of an attempt says about its replica and backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// Nothing is known, for example because the caller disconnected.
    Unknown,
    /// The backend server answered.
    Answered,
    /// The backend server stated that it does not have the replica.
    ReplicaMissing,
    /// The backend server could not be connected.
    Unreachable,
    /// The attempt failed after connecting, for example by a lost connection or a timeout.
    Failed,
}

impl ReplicaSlot {
    /// Returns the address of the backend server.
    pub(crate) fn address(&self) -> &backend::BackendAddress {
        &self.address
    }

    /// Returns when the slot was assigned.
    pub(crate) fn taken_at(&self) -> time::Instant {
        self.taken_at
    }

    /// Returns whether the request may still be sent: the backend server may have left or restarted, or
    /// the replica may drain, since the slot was assigned.
    pub(crate) fn may_send(&self) -> bool {
        self.dispatcher.accepts(self)
    }

    /// Ends the attempt with its outcome and releases the slot.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for ReplicaSlot {
    fn drop(&mut self) {
        let dispatcher = self.dispatcher.clone();
        dispatcher.release(self);
    }
}
