//! The queue of calls that wait for a server.

use std::collections;
use std::time;

use crate::fleet;

/// The calls that wait at one instance, ordered by rank and then by their remaining time.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    calls: collections::BTreeMap<QueuePlace, WaitingCall>,
    places: collections::HashMap<fleet::CallTicket, QueuePlace>,
    last_number: u64,
}

/// A position in the queue: by rank, then by the latest start, then by arrival number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePlace {
    rank: u32,
    latest_start: time::Instant,
    number: u64,
}

/// A call that waits.
#[derive(Debug)]
pub(super) struct WaitingCall {
    /// The ticket of the call.
    pub(super) ticket: fleet::CallTicket,
    /// The requirements of the call.
    pub(super) requirements: fleet::CallRequirements,
    /// When the call has to be sent at the latest to be of use to its caller.
    pub(super) latest_start: time::Instant,
    /// Why the call could not be sent when it was last tried.
    pub(super) block: fleet::SelectionBlock,
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn push(
        &mut self,
        requirements: fleet::CallRequirements,
        latest_start: time::Instant,
        block: fleet::SelectionBlock,
    ) -> fleet::CallTicket {
        self.last_number += 1;
        let ticket = fleet::CallTicket(self.last_number);
        let place = QueuePlace {
            rank: requirements.rank,
            latest_start,
            number: self.last_number,
        };
        self.places.insert(ticket, place);
        self.calls.insert(
            place,
            WaitingCall {
                ticket,
                requirements,
                latest_start,
                block,
            },
        );
        ticket
    }

    pub(super) fn remove(&mut self, ticket: fleet::CallTicket) -> Option<WaitingCall> {
        let place = self.places.remove(&ticket)?;
        self.calls.remove(&place)
    }

    /// Iterates over the waiting calls in the order in which they are placed.
    pub(super) fn iter(&self) -> impl Iterator<Item = &WaitingCall> {
        self.calls.values()
    }

    /// Iterates over the waiting calls in the same order, to change them.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut WaitingCall> {
        self.calls.values_mut()
    }

    /// Counts the waiting calls for the same model, or the same service without engines, that are placed
    /// before a new call and that it may not overtake.
    pub(super) fn calls_ahead(
        &self,
        next: &fleet::CallRequirements,
        latest_start: time::Instant,
    ) -> usize {
        let model = next.target.as_ref().map(|target| &target.model);
        let before = self
            .calls
            .range(
                ..QueuePlace {
                    rank: next.rank,
                    latest_start,
                    number: u64::MAX,
                },
            )
            .map(|(_, call)| call);
        before
            .filter(|call| {
                let known = &call.requirements;
                let target = known.target.as_ref();
                known.service == next.service
                    && target.map(|target| &target.model) == model
                    && call.block.blocks(&known.work, &next.work)
            })
            .count()
    }
}
