//! What an instance asks for one team.

use galenahold_domain::{amount, name};
use serde::{Deserialize, Serialize};

use crate::rate;

/// What an instance states and asks for one team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The team.
    pub team: name::TeamName,
    /// Tokens that the first waiting request still misses; zero where none waits.
    pub first_missing: amount::TokenCount,
    /// Tokens that all waiting requests still miss.
    pub missing: amount::TokenCount,
    /// Tokens wanted beyond that, for requests to come.
    pub prefetch: amount::TokenCount,
    /// The state of each grant that the holder received and whose end is not yet acknowledged.
    pub statements: Vec<rate::GrantStatement>,
    /// Refunds that are not yet acknowledged, in their order.
    pub refunds: Vec<rate::TokenRefund>,
    /// Tokens that requests took beyond their charge since the holder started.
    pub overdrawn_total: amount::TokenCount,
    /// Tokens that were served for the team since the holder started, for fair shares.
    pub served_total: amount::TokenCount,
}
