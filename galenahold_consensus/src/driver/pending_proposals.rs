//! Bookkeeping of unanswered proposals.

use std::collections;
use std::mem;

use crate::driver;
use crate::driver::log_input;
use crate::log;

/// Proposals and membership changes that are in the log, but not yet answered.
pub(super) struct PendingProposals<O> {
    proposals: collections::BTreeMap<log::LogPosition, PendingProposal<O>>,
    changes: collections::BTreeMap<log::LogPosition, log_input::ChangeReply>,
    command_bytes: usize,
}

struct PendingProposal<O> {
    reply: log_input::ProposeReply<O>,
    command_bytes: usize,
}

impl<O> PendingProposals<O> {
    pub(super) fn new() -> Self {
        Self {
            proposals: collections::BTreeMap::new(),
            changes: collections::BTreeMap::new(),
            command_bytes: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.proposals.len()
    }

    /// Total size of the pending commands in bytes.
    pub(super) fn command_bytes(&self) -> usize {
        self.command_bytes
    }

    pub(super) fn is_empty(&self) -> bool {
        self.proposals.is_empty() && self.changes.is_empty()
    }

    pub(super) fn add(
        &mut self,
        position: log::LogPosition,
        command_bytes: usize,
        reply: log_input::ProposeReply<O>,
    ) {
        self.command_bytes += command_bytes;
        let proposal = PendingProposal {
            reply,
            command_bytes,
        };
        self.proposals.insert(position, proposal);
    }

    pub(super) fn add_change(&mut self, position: log::LogPosition, reply: log_input::ChangeReply) {
        self.changes.insert(position, reply);
    }

    pub(super) fn take(
        &mut self,
        position: log::LogPosition,
    ) -> Option<log_input::ProposeReply<O>> {
        let proposal = self.proposals.remove(&position)?;
        self.command_bytes -= proposal.command_bytes;
        Some(proposal.reply)
    }

    pub(super) fn take_change(
        &mut self,
        position: log::LogPosition,
    ) -> Option<log_input::ChangeReply> {
        self.changes.remove(&position)
    }

    /// Answers all pending requests with [`driver::ProposeError::OutcomeUnknown`].
    pub(super) fn fail_all(&mut self) {
        self.command_bytes = 0;
        for proposal in mem::take(&mut self.proposals).into_values() {
            proposal.reply.refuse(driver::ProposeError::OutcomeUnknown);
        }
        for reply in mem::take(&mut self.changes).into_values() {
            reply.refuse(driver::ProposeError::OutcomeUnknown);
        }
    }
}
