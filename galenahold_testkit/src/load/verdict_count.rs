//! Refusals of one kind.

use serde::{Deserialize, Serialize};

/// Answers with one status and verdict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictCount {
    /// The status.
    pub status: u16,
    /// The value of `x-verdict`, empty without one.
    pub verdict: String,
    /// The `type` of the error, empty without one.
    pub kind: String,
    /// The answers.
    pub count: u64,
}
