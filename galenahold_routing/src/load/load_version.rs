//! Positions in the sequence of load views.

use serde::{Deserialize, Serialize};

/// Up to where an instance has followed the load views of a leader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadVersion {
    /// The leader's term.
    pub term: u64,
    /// When the loads were summed up, in milliseconds since one millisecond before the term began; zero if the
    /// instance has no view.
    pub version: u64,
}
