//! One request of a trace.

use serde::{Deserialize, Serialize};

use crate::engine;

/// Bytes of prompt text for one token.
const PROMPT_BYTES_PER_TOKEN: usize = 4;

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TraceBody {
    /// A completion of a model or an adapter.
    Completion {
        /// The model or adapter.
        model: String,
        /// Prompt tokens shared with other requests of the team.
        shared_tokens: u64,
        /// Prompt tokens of its own.
        own_tokens: u64,
        /// Output tokens.
        output_tokens: u64,
        /// Whether the answer streams.
        stream: bool,
        /// Whether the trace left the model alone for long before.
        after_idle: bool,
    },
    /// An order that must run at most once.
    Order {
        /// The plain service.
        service: String,
        /// Tokens that it counts for.
        tokens: u64,
    },
}

/// A request with its time and sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceRequest {
    /// Unique in its trace.
    pub id: String,
    /// Microseconds from the start of the trace.
    pub at_us: u64,
    /// The sender.
    pub team: String,
    /// Whether the sender is within its rate and burst with this request.
    pub inside_rate: bool,
    /// What it asks for.
    #[serde(flatten)]
    pub body: TraceBody,
}

impl TraceRequest {
    /// Returns the prompt of a completion; it begins with the team's shared text.
    #[must_use]
    pub fn prompt(&self) -> String {
        let TraceBody::Completion {
            shared_tokens,
            own_tokens,
            ..
        } = &self.body
        else {
            return String::new();
        };
        let mut prompt = filler(&self.team, *shared_tokens);
        prompt.push_str(&filler(&format!(" {} ", self.id), *own_tokens));
        prompt
    }

    /// Returns the tokens that the request counts for once it has run.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        match &self.body {
            TraceBody::Completion { output_tokens, .. } => {
                engine::AnswerText::prompt_tokens(&self.prompt()) + output_tokens
            }
            TraceBody::Order { tokens, .. } => *tokens,
        }
    }
}

/// Repeats `words` up to so many tokens.
fn filler(words: &str, tokens: u64) -> String {
    let bytes = usize::try_from(tokens).unwrap_or(usize::MAX) * PROMPT_BYTES_PER_TOKEN;
    let mut text: String = words.chars().cycle().take(bytes).collect();
    text.truncate(bytes);
    text
}
