//! Answer to a request for an adapter.

use std::time;

use crate::fleet;

/// Answer to a request for an adapter at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdapterDecision {
    /// The adapter is loaded or being loaded; no order is needed.
    Available {
        /// Expected time until the adapter is loaded.
        ready_in: time::Duration,
    },
    /// The adapter needs these orders, in this sequence.
    Order {
        /// The orders; the last one loads the adapter.
        orders: Vec<fleet::EngineOrder>,
        /// Expected duration of the load.
        ready_in: time::Duration,
    },
    /// The engine cannot load the adapter now.
    Refused {
        /// The reason for the refusal, as a message for people.
        reason: &'static str,
        /// When the engine is expected to accept the adapter; `None` if never.
        retry_in: Option<time::Duration>,
    },
}
