//! The queue of calls that wait for a server.

use std::collections;

use galenahold_domain::name;

use crate::fleet;

/// The calls that wait at one instance, ordered by rank and then by arrival.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    calls: collections::BTreeMap<QueuePlace, WaitingCall>,
    places: collections::HashMap<fleet::CallTicket, QueuePlace>,
    last_number: u64,
}

/// A position in the queue: by rank, then by arrival number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePlace {
    rank: u32,
    number: u64,
}

/// A call that waits.
#[derive(Debug)]
pub(super) struct WaitingCall {
    /// The ticket of the call.
    pub(super) ticket: fleet::CallTicket,
    /// The requirements of the call.
    pub(super) requirements: fleet::CallRequirements,
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn push(&mut self, requirements: fleet::CallRequirements) -> fleet::CallTicket {
        self.last_number += 1;
        let ticket = fleet::CallTicket(self.last_number);
        let place = QueuePlace {
            rank: requirements.rank,
            number: self.last_number,
        };
        self.places.insert(ticket, place);
        self.calls.insert(
            place,
            WaitingCall {
                ticket,
                requirements,
            },
        );
        ticket
    }

    pub(super) fn remove(&mut self, ticket: fleet::CallTicket) -> Option<WaitingCall> {
        let place = self.places.remove(&ticket)?;
        self.calls.remove(&place)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &WaitingCall> {
        self.calls.values()
    }

    /// Counts the waiting calls for the same model, or the same service without engines, that are placed
    /// before a new call of `rank`.
    pub(super) fn calls_ahead(
        &self,
        service: &name::ServiceName,
        model: Option<&name::ModelName>,
        rank: u32,
    ) -> usize {
        self.calls
            .values()
            .filter(|call| call.requirements.rank <= rank && call.requirements.service == *service)
            .filter(|call| {
                call.requirements
                    .target
                    .as_ref()
                    .map(|target| &target.model)
                    == model
            })
            .count()
    }
}
