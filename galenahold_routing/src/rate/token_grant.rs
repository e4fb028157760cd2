//! What the control leader answers for one team.

use std::time;

use galenahold_domain::{amount, name};
use serde::{Deserialize, Serialize};

use crate::rate;

/// What the control leader answers for one team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The team.
    pub team: name::TeamName,
    /// Identifies the grant.
    pub id: rate::GrantId,
    /// Tokens given; may be zero.
    pub tokens: amount::TokenCount,
    /// How long they may be spent, from when the holder made the call.
    pub expiry_in: time::Duration,
    /// When the first waiting request's tokens are expected; absent where they were given or can
    /// never be given.
    pub retry_after: Option<time::Duration>,
    /// Whether others wait for the team's tokens, so that idle ones should be returned.
    pub scarce: bool,
    /// Whether the bucket may hold less than the team is due, since its leader is new.
    #[serde(default)]
    pub recovering: bool,
    /// The team's weight in fair queues, with the fleet-wide correction.
    pub weight: f64,
}
