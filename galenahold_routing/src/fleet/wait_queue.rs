//! The calls that wait.

use std::collections;

use galenahold_domain::name;

use crate::fleet;

/// The calls that wait at one instance, urgent ones first and otherwise in the order in which they came.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    calls: collections::BTreeMap<QueuePlace, WaitingCall>,
    places: collections::HashMap<fleet::CallTicket, QueuePlace>,
    next: u64,
}

/// A place in the line: the rank goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePlace {
    rank: u32,
    number: u64,
}

/// A call that waits.
#[derive(Debug)]
pub(super) struct WaitingCall {
    /// Names it.
    pub(super) ticket: fleet::CallTicket,
    /// What it needs.
    pub(super) need: fleet::CallRequirements,
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn push(&mut self, need: fleet::CallRequirements) -> fleet::CallTicket {
        self.next += 1;
        let ticket = fleet::CallTicket(self.next);
        let place = QueuePlace {
            rank: need.rank,
            number: self.next,
        };
        self.places.insert(ticket, place);
        self.calls.insert(place, WaitingCall { ticket, need });
        ticket
    }

    pub(super) fn remove(&mut self, ticket: fleet::CallTicket) -> Option<WaitingCall> {
        let place = self.places.remove(&ticket)?;
        self.calls.remove(&place)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &WaitingCall> {
        self.calls.values()
    }

    /// Counts the calls for the same model, or the same plain service, that go before one of `rank`.
    pub(super) fn ahead(
        &self,
        service: &name::ServiceName,
        model: Option<&name::ModelName>,
        rank: u32,
    ) -> usize {
        self.calls
            .values()
            .filter(|call| call.need.rank <= rank && call.need.service == *service)
            .filter(|call| call.need.target.as_ref().map(|target| &target.model) == model)
            .count()
    }
}
