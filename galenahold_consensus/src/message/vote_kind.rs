//! Vote requests: pre-vote, election and leadership transfer.

use serde::{Deserialize, Serialize};

/// Kind of a vote request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteKind {
    /// Pre-vote: asks whether a vote would be granted, without changing any state.
    Trial,
    /// Vote in an election, after a successful pre-vote.
    Ordinary,
    /// Vote in a leadership transfer; the leader has given up its lease.
    Transfer,
}
