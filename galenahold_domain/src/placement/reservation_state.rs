//! The state of a reservation.

use serde::{Deserialize, Serialize};

/// The state of a reservation. Its bytes count until it is released, in each state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReservationState {
    /// Decided and committed; the load order may have been sent.
    Ordered,
    /// The backend server showed it loaded.
    Loaded,
    /// It takes no new requests and is about to be unloaded.
    Draining,
    /// The unload order may have been sent.
    Unloading,
}
