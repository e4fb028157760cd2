//! A team of a deployment.

use super::TokenRange;
use serde::{Deserialize, Serialize};

/// A team with its rate and its usual requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeployedTeam {
    /// Its name.
    pub name: String,
    /// Its rate over the whole fleet.
    pub tokens_per_second: u64,
    /// Its burst over the whole fleet.
    pub burst_tokens: u64,
    /// Its usual model requests a second.
    pub requests_per_second: f64,
    /// Its usual orders a second.
    pub orders_per_second: f64,
    /// Share of its model requests that stream.
    pub streamed_share: f64,
    /// Prompt tokens that it shares between requests.
    pub shared_prompt_tokens: u64,
    /// Prompt tokens of its own in each request.
    pub prompt_tokens: TokenRange,
    /// Output tokens of each request.
    pub output_tokens: TokenRange,
}
