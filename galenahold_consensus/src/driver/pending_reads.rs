//! [`PendingReads`].

use std::collections;
use std::mem;

use crate::core;
use crate::driver;
use crate::log;

/// The reads that have no answer yet.
pub(super) struct PendingReads<S> {
    ticketed: collections::BTreeMap<core::ReadTicket, driver::ReadReply<S>>,
    waiting: Vec<WaitingRead<S>>,
    next_ticket: u64,
}

/// A read that waits until an index is applied.
struct WaitingRead<S> {
    index: log::LogIndex,
    reply: driver::ReadReply<S>,
}

impl<S> PendingReads<S> {
    pub(super) fn new() -> Self {
        Self {
            ticketed: collections::BTreeMap::new(),
            waiting: Vec::new(),
            next_ticket: 0,
        }
    }

    pub(super) fn enqueue(&mut self, reply: driver::ReadReply<S>) -> core::ReadTicket {
        let ticket = core::ReadTicket::new(self.next_ticket);
        self.next_ticket += 1;
        self.ticketed.insert(ticket, reply);
        ticket
    }

    pub(super) fn settle(&mut self, verdict: core::ReadOutcome, refusal: &driver::ReadError) {
        match verdict {
            core::ReadOutcome::Ready { ticket, index } => {
                if let Some(reply) = self.ticketed.remove(&ticket) {
                    self.waiting.push(WaitingRead { index, reply });
                }
            }
            core::ReadOutcome::Refused { ticket } => {
                if let Some(reply) = self.ticketed.remove(&ticket) {
                    reply.answer(Err(refusal.clone()));
                }
            }
        }
    }

    pub(super) fn run(&mut self, applied: log::LogIndex, machine: &S) {
        let (ready, waiting) = mem::take(&mut self.waiting)
            .into_iter()
            .partition::<Vec<_>, _>(|read| read.index <= applied);
        self.waiting = waiting;
        for read in ready {
            read.reply.answer(Ok(machine));
        }
    }

    pub(super) fn fail(&mut self, error: &driver::ReadError) {
        let ticketed = mem::take(&mut self.ticketed).into_values();
        let waiting = mem::take(&mut self.waiting);
        let replies = ticketed.chain(waiting.into_iter().map(|read| read.reply));
        for reply in replies {
            reply.answer(Err(error.clone()));
        }
    }
}
