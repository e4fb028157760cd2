//! The exchange of token grants between an instance and the leader.

use galenahold_domain::amount;
use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::message;

/// What an instance asks of, and returns to, the leader's buckets: one message for all teams.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantExchange {
    /// Who asks.
    pub card: message::InstanceCard,
    /// A need a team.
    pub needs: Vec<TeamNeed>,
}

/// What an instance needs and returns for one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamNeed {
    /// The team.
    pub team: name::TeamName,
    /// Tokens wanted.
    pub wanted: amount::TokenCount,
    /// Grants that are returned, each whole or in part, by number.
    #[serde(default)]
    pub returned: Vec<ReturnedGrant>,
    /// Tokens spent since the last exchange, for the fairness between teams.
    #[serde(default)]
    pub spent: amount::TokenCount,
}

/// Unspent tokens of one grant that come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnedGrant {
    /// The grant's number.
    pub id: u64,
    /// The tokens that come back.
    pub tokens: amount::TokenCount,
}

/// The leader's answer to an exchange.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantReply {
    /// A grant a team that got one.
    pub grants: Vec<TeamGrant>,
}

/// Tokens that an instance may spend for one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamGrant {
    /// The team.
    pub team: name::TeamName,
    /// The grant's number.
    pub id: u64,
    /// The tokens.
    pub tokens: amount::TokenCount,
    /// For how long from the request's sending they may be spent, in milliseconds.
    pub valid_ms: u64,
    /// When more can be expected, where fewer tokens were granted than wanted, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: u64,
    /// The team's share where teams compete, corrected over the fleet, in thousandths.
    #[serde(default)]
    pub weight_thousandths: u32,
}
