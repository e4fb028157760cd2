//! The state of a reservation.

use std::fmt;

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

impl ReservationState {
    /// Returns whether an order for it may be under way.
    #[must_use]
    pub fn is_unresolved(self) -> bool {
        matches!(self, Self::Ordered | Self::Unloading)
    }

    /// Returns whether a reservation may go from this state to the other.
    ///
    /// Staying in a state is allowed: a new sender takes over an order that way. An unloading that
    /// the backend server refused leads back to `Loaded`.
    #[must_use]
    pub fn may_become(self, next: Self) -> bool {
        match self {
            Self::Ordered => matches!(next, Self::Ordered | Self::Loaded),
            Self::Loaded | Self::Draining => next != Self::Ordered,
            Self::Unloading => matches!(next, Self::Unloading | Self::Loaded),
        }
    }
}

impl fmt::Display for ReservationState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Ordered => "ordered",
            Self::Loaded => "loaded",
            Self::Draining => "draining",
            Self::Unloading => "unloading",
        })
    }
}
