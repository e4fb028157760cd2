//! Metadata of a caller's request.

use std::time;

use galenahold_domain::amount;
use galenahold_routing::fleet;

use crate::gateway::dialect;

/// Metadata that the dialect parses from the head of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct CallMetadata {
    /// The caller's id for this attempt.
    pub id: Option<String>,
    /// How long the caller waits for the answer.
    pub patience: Option<time::Duration>,
    /// The key that the caller sent.
    pub secret: Option<String>,
    /// The requested model.
    pub target: Option<fleet::ModelTarget>,
    /// The stated sizes of the prompt and the output.
    pub sizes: Option<dialect::CallSizes>,
    /// The parts of the prompt in order; the last one belongs to this request or its session alone.
    pub prompt: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part; requests with the same id share it.
    pub id: u64,
    /// The tokens of the part.
    pub tokens: amount::TokenCount,
}
