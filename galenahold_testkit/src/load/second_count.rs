//! What became of the requests of one second.

use serde::{Deserialize, Serialize};

/// Counts the requests that were due in one second of the trace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondCount {
    /// The second, from the start of the trace.
    pub second: u64,
    /// Requests sent.
    pub sent: u64,
    /// Whole and right answers.
    pub answered: u64,
    /// Refusals.
    pub refused: u64,
    /// The longest wait for a first token among the answers.
    pub worst_first_token_us: u64,
}
