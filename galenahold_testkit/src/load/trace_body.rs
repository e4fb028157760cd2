//! What a request asks for.

use serde::{Deserialize, Serialize};

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
