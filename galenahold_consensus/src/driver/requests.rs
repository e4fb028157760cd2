//! Processing of proposals, reads, membership changes and leadership transfers.

use crate::core;
use crate::driver;
use crate::driver::log_input;
use crate::member;
use crate::storage;

impl<S, T, B> driver::LogThread<S, T, B>
where
    S: driver::StateMachine,
    T: driver::MessageTransport,
    B: storage::StorageBackend,
{
    pub(super) fn propose(
        &mut self,
        command: bytes::Bytes,
        reply: log_input::ProposeReply<S::Outcome>,
    ) {
        if command.len() > self.settings.command_bytes {
            reply.refuse(driver::ProposeError::TooLong);
            return;
        }
        let command_bytes = command.len();
        let full = self.proposals.len() >= self.settings.pending_proposals
            || self.proposals.command_bytes() + command_bytes > self.settings.pending_bytes;
        if full {
            reply.refuse(driver::ProposeError::Busy);
            return;
        }
        let proposed = self.node.as_mut().map(|node| node.propose(command));
        match proposed {
            Some(Ok(position)) => self.proposals.add(position, command_bytes, reply),
            Some(Err(core::ProposeRefusal::Transferring)) => {
                reply.refuse(driver::ProposeError::Busy);
            }
            _ => reply.refuse(self.not_leader_error()),
        }
    }

    pub(super) fn transfer(&mut self, target: Option<member::MemberId>) -> bool {
        let now = self.clock.now();
        let Some(node) = self.node.as_mut() else {
            return false;
        };
        let target = target.or_else(|| node.best_transfer_target());
        target.is_some_and(|target| node.transfer_leadership(target, now))
    }

    pub(super) fn read(&mut self, linearizable: bool, reply: driver::ReadReply<S>) {
        if self.failure.is_some() {
            reply.answer(Err(driver::ReadError::Storage));
        } else if !linearizable {
            reply.answer(Ok(&self.machine));
        } else if let Some(node) = self.node.as_mut() {
            let ticket = self.reads.enqueue(reply);
            node.read(ticket, self.clock.now());
        } else {
            let hint = self.leader();
            reply.answer(Err(driver::ReadError::NotLeader { hint }));
        }
    }

    pub(super) fn change(
        &mut self,
        change: &member::MembershipChange,
        reply: log_input::ChangeReply,
    ) {
        let now = self.clock.now();
        let Some(node) = self.node.as_mut() else {
            reply.refuse(self.not_leader_error());
            return;
        };
        match node.change_membership(change, now) {
            Ok(position) => self.proposals.add_change(position, reply),
            Err(core::ChangeRefusal::NotLeader) => reply.refuse(self.not_leader_error()),
            Err(refusal) => reply.answer(Err(driver::ChangeError::Refused { refusal })),
        }
    }
}
