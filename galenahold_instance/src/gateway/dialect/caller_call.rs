//! What a caller's request says.

use std::time;

use galenahold_domain::amount;
use galenahold_routing::fleet;

/// What the head of a caller's request says.
#[derive(Debug, Clone, Default)]
pub struct CallerCall {
    /// Names this attempt of the caller.
    pub id: Option<String>,
    /// How long the caller waits.
    pub patience: Option<time::Duration>,
    /// The key that the caller shows.
    pub secret: Option<String>,
    /// The model that it names.
    pub target: Option<fleet::ModelTarget>,
    /// Tokens of the prompt and of the longest output together.
    pub tokens: Option<amount::TokenCount>,
    /// The parts of its prompt in order; the last one is its own or its session's.
    pub prompt: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part; requests with the same name share it.
    pub id: u64,
    /// Its tokens.
    pub tokens: amount::TokenCount,
}
