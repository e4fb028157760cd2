//! State of an order.

use std::time;

/// State of the latest order for a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderState {
    /// No order is in progress.
    Settled,
    /// This leader sent the order and waits for the answer.
    Sent { at: time::Instant },
    /// This leader sent the order, but the answer was lost.
    Unknown { since: time::Instant },
    /// An earlier leader may have sent the order, or may still send it.
    Inherited,
    /// A repeated order was refused after the answer to the first one was lost. Only an
    /// announcement of the server shows whether the first one was executed.
    AwaitingObservation { since: time::Instant },
}

impl OrderState {
    pub(super) fn is_settled(self) -> bool {
        matches!(self, Self::Settled)
    }
}
