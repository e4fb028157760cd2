//! Voters and learners.

use serde::{Deserialize, Serialize};

/// Whether a member counts towards a quorum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum VotingStatus {
    /// Receives the log but does not count towards a quorum.
    Learner,
    /// Votes in elections, and counts towards the quorum that commits an entry.
    Voter,
}
