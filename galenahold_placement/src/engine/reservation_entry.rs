//! What the engine knows of a reservation.

use std::collections;
use std::time;

use galenahold_domain::{name, placement, server};

use crate::engine::artifact_key::ArtifactKey;
use crate::engine::order_state::OrderState;
use crate::engine::server_key::ServerKey;
use crate::engine::store_charge::StoreCharge;

/// What the engine knows of a reservation.
#[derive(Debug)]
pub(super) struct ReservationEntry {
    pub(super) reservation: placement::MemoryReservation,
    pub(super) artifact: ArtifactKey,
    pub(super) server: ServerKey,
    pub(super) order: OrderState,
    /// Whether an earlier order without an answer may have acted, or may act still.
    pub(super) unconfirmed: bool,
    /// A commit was asked for and not answered.
    pub(super) commit_pending: bool,
    /// The sequence number of the last announcement that showed the replica.
    pub(super) last_announced_in: Option<u64>,
    /// When the present state was committed.
    pub(super) state_since: time::Instant,
    pub(super) tier: server::CheckpointTier,
    pub(super) charge: StoreCharge,
    pub(super) work: collections::BTreeMap<name::InstanceName, u32>,
    pub(super) in_flight: u32,
    /// Since when it has had no work.
    pub(super) idle_since: Option<time::Instant>,
    /// When it is no longer kept without work.
    pub(super) keep_alive_until: Option<time::Instant>,
}

impl ReservationEntry {
    pub(super) fn is_in(&self, state: placement::ReservationState) -> bool {
        self.reservation.state == state
    }

    /// Returns whether it takes requests, or will once it is loaded.
    pub(super) fn serves(&self) -> bool {
        let state = self.reservation.state;
        matches!(
            state,
            placement::ReservationState::Ordered | placement::ReservationState::Loaded
        )
    }
}
