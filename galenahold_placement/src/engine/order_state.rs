//! What is known of the latest order for a reservation.

use std::time;

/// What is known of the latest order for a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderState {
    /// No order is under way.
    Settled,
    /// This leader sent it and waits for the answer.
    Sent { at: time::Instant },
    /// This leader sent it and its answer is lost.
    Unknown { since: time::Instant },
    /// An earlier leader may have sent it, or may send it still.
    Inherited,
    /// A repeat was refused after an answer was lost: only an observation tells.
    AwaitingObservation { since: time::Instant },
}

impl OrderState {
    pub(super) fn is_settled(self) -> bool {
        matches!(self, Self::Settled)
    }
}
