//! The part of a call that concerns one team.

use galenahold_domain::{amount, name};
use serde::{Deserialize, Serialize};

use crate::rate;

/// An instance's statements and token request for one team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The team.
    pub team: name::TeamName,
    /// Tokens that the first waiting request still lacks; zero if no request waits.
    pub first_missing: amount::TokenCount,
    /// Tokens that all waiting requests still lack.
    pub missing: amount::TokenCount,
    /// Tokens requested beyond `missing`, for future requests.
    pub prefetch: amount::TokenCount,
    /// The waiting requests that lack tokens, in the order in which they get them; the first few if there are
    /// many. Empty in calls of versions that do not state them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waiting: Vec<rate::WaitingDemand>,
    /// The state of each grant that the holder received and whose final statement is not yet acknowledged.
    pub statements: Vec<rate::GrantStatement>,
    /// Refunds that are not yet acknowledged, by sequence number.
    pub refunds: Vec<rate::TokenRefund>,
    /// Tokens that requests used beyond their charge since the holder started.
    pub overdrawn_total: amount::TokenCount,
    /// Tokens that the team was served since the holder started, for the fairness correction.
    pub served_total: amount::TokenCount,
}
