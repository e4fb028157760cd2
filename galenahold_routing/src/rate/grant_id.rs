//! The identifier of a grant.

use serde::{Deserialize, Serialize};

/// Identifies a grant: the leader's term and a number within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// The term of the leader that issued the grant.
    pub term: u64,
    /// Increases with each grant of the term.
    pub number: u64,
}
