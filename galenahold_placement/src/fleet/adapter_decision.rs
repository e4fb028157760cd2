//! What becomes of a wish for an adapter.

use std::time;

use crate::fleet;

/// What becomes of a wish for an adapter at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdapterDecision {
    /// It is there, or comes without a further order.
    Available {
        /// How long the rest of its load is expected to take.
        ready_in: time::Duration,
    },
    /// These orders bring it, in this sequence.
    Order {
        /// The orders; the last one loads the adapter.
        orders: Vec<fleet::EngineOrder>,
        /// How long its load is expected to take.
        ready_in: time::Duration,
    },
    /// The engine cannot hold it now.
    Refused {
        /// Why.
        reason: &'static str,
        /// When it is expected to take it; none where it never will.
        retry_in: Option<time::Duration>,
    },
}
