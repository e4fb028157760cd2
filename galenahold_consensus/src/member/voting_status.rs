//! [`VotingStatus`].

use serde::{Deserialize, Serialize};

/// Whether a member counts towards a quorum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum VotingStatus {
    /// Receives the log and counts towards no quorum.
    Learner,
    /// Votes, and its acknowledgements commit entries.
    Voter,
}
