//! The tokens that a request needs.

use galenahold_domain::amount;
use galenahold_domain::name;

/// The tokens that a request needs, and its place among the requests of its team that wait for tokens.
#[derive(Debug, Clone)]
pub(crate) struct TokenDemand {
    /// The team.
    pub(crate) team: name::TeamName,
    /// The tokens that the request may need.
    pub(crate) tokens: amount::TokenCount,
    /// The rank of the request; 0 is the most urgent.
    pub(crate) rank: u32,
    /// Whether the caller was rejected before and retries as told.
    pub(crate) is_returning: bool,
}
