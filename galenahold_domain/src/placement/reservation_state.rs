//! The states of a reservation and the transitions between them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The state of a reservation; its bytes count in every state, until it is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReservationState {
    /// The reservation is committed, and the load order may have been sent.
    Ordered,
    /// The backend server reported the replica as loaded.
    Loaded,
    /// The replica takes no new requests and is about to be unloaded.
    Draining,
    /// The unload order may have been sent.
    Unloading,
}

impl ReservationState {
    /// Returns whether a load or unload order for the replica may be in progress.
    #[must_use]
    pub fn is_unresolved(self) -> bool {
        matches!(self, Self::Ordered | Self::Unloading)
    }

    /// Returns whether a reservation may move from this state to the next.
    ///
    /// A transition to the same state is allowed, as a new sender takes over an order by it. After
    /// the backend server refused to unload a replica, the reservation returns to `Loaded`.
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
