//! One request of a trace.

use serde::{Deserialize, Serialize};

use super::TraceBody;
use crate::engine;

/// Bytes of prompt text for one token.
const PROMPT_BYTES_PER_TOKEN: usize = 4;

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
