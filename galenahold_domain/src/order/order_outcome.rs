//! The possible ends of an attempt to send an order.

use serde::{Deserialize, Serialize};

use crate::order;

/// The outcome of an attempt of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The backend server answered.
    Answered(order::OrderAnswer),
    /// The order certainly never reached a backend server that might act on it.
    NotRun,
    /// The order was sent, but its answer is lost.
    Unknown,
}
