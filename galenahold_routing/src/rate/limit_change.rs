//! A team's move beyond its limit or back.

use galenahold_domain::{amount, name};

/// A team went beyond its rate and burst, or is within them again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitChange {
    /// The team.
    pub team: name::TeamName,
    /// Whether the team's requests exceed its rate and burst.
    pub is_exceeded: bool,
    /// The tokens per second that its requests asked for lately.
    pub asked_per_s: u64,
    /// The tokens in its bucket.
    pub level: amount::TokenCount,
    /// The requests that wait for its tokens.
    pub waiting: usize,
}
