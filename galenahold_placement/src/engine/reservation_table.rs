//! Table of the committed reservations.

use std::collections;

use galenahold_domain::placement;

use crate::engine::reservation_entry::ReservationEntry;

/// Committed reservations, with indexes of those that each tick examines.
#[derive(Debug, Default)]
pub(super) struct ReservationTable {
    entries: collections::BTreeMap<placement::ReservationId, ReservationEntry>,
    /// Reservations of draining replicas.
    pub(super) draining: collections::BTreeSet<placement::ReservationId>,
    /// Reservations with an order that is not settled.
    pub(super) unsettled: collections::BTreeSet<placement::ReservationId>,
}

impl ReservationTable {
    pub(super) fn get(&self, id: placement::ReservationId) -> Option<&ReservationEntry> {
        self.entries.get(&id)
    }

    pub(super) fn get_mut(
        &mut self,
        id: placement::ReservationId,
    ) -> Option<&mut ReservationEntry> {
        self.entries.get_mut(&id)
    }

    pub(super) fn insert(&mut self, entry: ReservationEntry) {
        self.entries.insert(entry.reservation.id, entry);
    }

    pub(super) fn remove(&mut self, id: placement::ReservationId) -> Option<ReservationEntry> {
        self.draining.remove(&id);
        self.unsettled.remove(&id);
        self.entries.remove(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
