//! State of one reservation.

use std::collections;
use std::time;

use galenahold_domain::{name, placement, server};

use crate::engine::artifact_key::ArtifactKey;
use crate::engine::order_state::OrderState;
use crate::engine::server_key::ServerKey;
use crate::engine::store_charge::StoreCharge;

/// Reservation with the state of its replica and of its latest order.
#[derive(Debug)]
pub(super) struct ReservationEntry {
    pub(super) reservation: placement::MemoryReservation,
    pub(super) artifact: ArtifactKey,
    pub(super) server: ServerKey,
    pub(super) order: OrderState,
    /// Whether an earlier unanswered order may have been executed, or may still be.
    pub(super) unconfirmed: bool,
    /// Whether a commit was requested and not answered yet.
    pub(super) commit_pending: bool,
    /// Sequence number of the last announcement that listed the replica.
    pub(super) last_announced_in: Option<u64>,
    /// When the current state was committed.
    pub(super) state_since: time::Instant,
    pub(super) tier: server::CheckpointTier,
    pub(super) charge: StoreCharge,
    pub(super) work: collections::BTreeMap<name::InstanceName, u32>,
    pub(super) in_flight: u32,
    /// Since when the replica has been idle.
    pub(super) idle_since: Option<time::Instant>,
    /// When the keep-alive time ends.
    pub(super) keep_alive_until: Option<time::Instant>,
}

impl ReservationEntry {
    pub(super) fn is_in(&self, state: placement::ReservationState) -> bool {
        self.reservation.state == state
    }

    /// Returns whether the replica serves requests, or will once it is loaded.
    pub(super) fn serves(&self) -> bool {
        let state = self.reservation.state;
        matches!(
            state,
            placement::ReservationState::Ordered | placement::ReservationState::Loaded
        )
    }
}
