//! Bookkeeping of unanswered linearizable reads.

use std::collections;
use std::mem;

use crate::core;
use crate::driver;
use crate::log;

/// Linearizable reads that wait for a leadership confirmation or for an entry to be applied.
pub(super) struct PendingReads<S> {
    unconfirmed: collections::BTreeMap<core::ReadTicket, driver::ReadReply<S>>,
    confirmed: Vec<ConfirmedRead<S>>,
    next_ticket: u64,
}

/// A read that may run once the entry at its read index is applied.
struct ConfirmedRead<S> {
    index: log::LogIndex,
    reply: driver::ReadReply<S>,
}

impl<S> PendingReads<S> {
    pub(super) fn new() -> Self {
        Self {
            unconfirmed: collections::BTreeMap::new(),
            confirmed: Vec::new(),
            next_ticket: 0,
        }
    }

    pub(super) fn enqueue(&mut self, reply: driver::ReadReply<S>) -> core::ReadTicket {
        let ticket = core::ReadTicket::new(self.next_ticket);
        self.next_ticket += 1;
        self.unconfirmed.insert(ticket, reply);
        ticket
    }

    pub(super) fn resolve(&mut self, outcome: core::ReadOutcome, refusal: &driver::ReadError) {
        match outcome {
            core::ReadOutcome::Ready { ticket, index } => {
                if let Some(reply) = self.unconfirmed.remove(&ticket) {
                    self.confirmed.push(ConfirmedRead { index, reply });
                }
            }
            core::ReadOutcome::Refused { ticket } => {
                if let Some(reply) = self.unconfirmed.remove(&ticket) {
                    reply.answer(Err(refusal.clone()));
                }
            }
        }
    }

    pub(super) fn run(&mut self, applied: log::LogIndex, machine: &S) {
        let (ready, confirmed) = mem::take(&mut self.confirmed)
            .into_iter()
            .partition::<Vec<_>, _>(|read| read.index <= applied);
        self.confirmed = confirmed;
        for read in ready {
            read.reply.answer(Ok(machine));
        }
    }

    pub(super) fn fail(&mut self, error: &driver::ReadError) {
        let unconfirmed = mem::take(&mut self.unconfirmed).into_values();
        let confirmed = mem::take(&mut self.confirmed);
        let replies = unconfirmed.chain(confirmed.into_iter().map(|read| read.reply));
        for reply in replies {
            reply.answer(Err(error.clone()));
        }
    }
}
