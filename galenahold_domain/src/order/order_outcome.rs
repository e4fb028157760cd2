//! How an attempt of an order ended.

use serde::{Deserialize, Serialize};

use crate::order;

/// How an attempt of an order ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The backend server answered.
    Answered(order::OrderAnswer),
    /// The attempt provably never reached a backend server that might act on it.
    NotRun,
    /// The request was sent and its answer is lost.
    Unknown,
}
