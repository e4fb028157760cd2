//! The intent for one team.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::name;

const DEFAULT_WEIGHT: u32 = 1;

/// A team with its rate limit over the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamIntent {
    /// The team's name.
    pub name: name::TeamName,
    /// The rate limit in tokens per second, prompt and output together.
    pub rate_tokens_per_s: amount::TokensPerSecond,
    /// The maximum number of tokens that may be spent at once.
    pub burst_tokens: amount::TokenCount,
    /// The team's share when teams compete, relative to the other teams' weights.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}
