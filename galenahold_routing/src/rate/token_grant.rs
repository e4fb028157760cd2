//! The part of a reply that concerns one team.

use std::time;

use galenahold_domain::{amount, name};
use serde::{Deserialize, Serialize};

use crate::rate;

/// Tokens that the control leader grants to an instance for one team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The team.
    pub team: name::TeamName,
    /// The identifier of the grant.
    pub id: rate::GrantId,
    /// Number of tokens; may be zero.
    pub tokens: amount::TokenCount,
    /// How long the tokens may be spent, counted from when the holder made the call.
    pub expiry_in: time::Duration,
    /// The time until the tokens of the first waiting request are expected; absent if they were granted or
    /// can never be granted.
    pub retry_after: Option<time::Duration>,
    /// For each waiting request of the call, in the same order, the milliseconds until its tokens are expected:
    /// zero if they are granted, absent if they can never be. Empty in replies of versions that do not state
    /// them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waits_ms: Vec<Option<u64>>,
    /// Whether other holders wait for the team's tokens, so that idle tokens should be returned.
    pub scarce: bool,
    /// Whether the bucket may hold less than the team is entitled to, since its leader is new.
    #[serde(default)]
    pub recovering: bool,
    /// The team's weight in fair queues, with the fleet-wide correction.
    pub weight: f64,
}
