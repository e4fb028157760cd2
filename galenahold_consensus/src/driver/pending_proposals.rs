//! [`PendingProposals`].

use std::collections;
use std::mem;

use crate::driver;
use crate::driver::log_input;
use crate::log;

/// The proposals and membership changes that are appended and have no answer yet.
pub(super) struct PendingProposals<O> {
    proposals: collections::BTreeMap<log::LogPosition, log_input::ProposeReply<O>>,
    changes: collections::BTreeMap<log::LogPosition, log_input::ChangeReply>,
}

impl<O> PendingProposals<O> {
    pub(super) fn new() -> Self {
        Self {
            proposals: collections::BTreeMap::new(),
            changes: collections::BTreeMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.proposals.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.proposals.is_empty() && self.changes.is_empty()
    }

    pub(super) fn add(&mut self, position: log::LogPosition, reply: log_input::ProposeReply<O>) {
        self.proposals.insert(position, reply);
    }

    pub(super) fn add_change(&mut self, position: log::LogPosition, reply: log_input::ChangeReply) {
        self.changes.insert(position, reply);
    }

    pub(super) fn take(
        &mut self,
        position: log::LogPosition,
    ) -> Option<log_input::ProposeReply<O>> {
        self.proposals.remove(&position)
    }

    pub(super) fn take_change(
        &mut self,
        position: log::LogPosition,
    ) -> Option<log_input::ChangeReply> {
        self.changes.remove(&position)
    }

    /// Tells all callers that their proposals may have been committed or may still be.
    pub(super) fn drop_all(&mut self) {
        for reply in mem::take(&mut self.proposals).into_values() {
            reply.refuse(driver::ProposeError::Dropped);
        }
        for reply in mem::take(&mut self.changes).into_values() {
            reply.refuse(driver::ProposeError::Dropped);
        }
    }
}
