//! The right to run one request at one replica.

use galenahold_domain::amount;
use galenahold_routing::replica;

use crate::backend;
use crate::dispatch;

/// The right to run one request at one replica; dropping it frees the place.
#[derive(Debug)]
pub(crate) struct ReplicaSlot {
    pub(super) dispatcher: dispatch::Dispatcher,
    pub(super) target: replica::ReplicaTarget,
    pub(super) replica: replica::ReplicaKey,
    pub(super) server: replica::ServerKey,
    pub(super) tokens: amount::TokenCount,
    pub(super) address: backend::BackendAddress,
    pub(super) outcome: AttemptOutcome,
}

/// What an attempt says of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// Nothing, as where the caller went away.
    Unknown,
    /// It answered.
    Answered,
    /// It says that it does not hold the replica.
    ReplicaMissing,
    /// It could not be connected.
    Unreachable,
    /// Its transport failed.
    Failed,
}

impl ReplicaSlot {
    /// Returns where the request goes.
    pub(crate) fn address(&self) -> &backend::BackendAddress {
        &self.address
    }

    /// Ends the attempt with what it says of the backend server.
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
