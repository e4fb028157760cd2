//! [`VoteKind`].

use serde::{Deserialize, Serialize};

/// What a candidate asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteKind {
    /// Whether a vote would be granted; changes no state.
    Trial,
    /// A vote.
    Ordinary,
    /// A vote at the request of the leader, which has given up its lease.
    Transfer,
}
