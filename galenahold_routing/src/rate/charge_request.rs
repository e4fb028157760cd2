//! A request's demand for tokens.

use std::time;

use galenahold_domain::{amount, name};

use crate::rate;

/// The tokens that a request needs, and its place among the waiting requests of its team.
#[derive(Debug, Clone)]
pub struct ChargeRequest {
    /// The team.
    pub team: name::TeamName,
    /// The tokens that the request needs.
    pub tokens: amount::TokenCount,
    /// Identifies the request at this instance.
    pub ticket: rate::ChargeTicket,
    /// The rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// Whether the caller was rejected before and retries as told; it goes before new callers of its rank.
    pub is_returning: bool,
    /// When the request stops waiting for tokens.
    pub waits_until: time::Instant,
}
