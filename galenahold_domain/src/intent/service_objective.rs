//! The service-level objective of a service.

use serde::{Deserialize, Serialize};

const DEFAULT_FIRST_TOKEN_MS: u64 = 1_700;
const DEFAULT_BETWEEN_TOKENS_MS: u64 = 26;
const DEFAULT_TARGET_PER_MILLION: u32 = 950_000;
const DEFAULT_AVAILABILITY_PER_MILLION: u32 = 999_000;

/// The latency and availability that a service promises its teams.
///
/// The burn report measures the requests against this objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceObjective {
    /// The time to the first token or, for a plain service, to the answer, in milliseconds.
    pub first_token_ms: u64,
    /// The time between two tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// The number of requests per million that should meet each latency.
    pub latency_target_per_million: u32,
    /// The number of requests per million that should be answered.
    pub availability_per_million: u32,
}

impl Default for ServiceObjective {
    fn default() -> Self {
        Self {
            first_token_ms: DEFAULT_FIRST_TOKEN_MS,
            between_tokens_ms: DEFAULT_BETWEEN_TOKENS_MS,
            latency_target_per_million: DEFAULT_TARGET_PER_MILLION,
            availability_per_million: DEFAULT_AVAILABILITY_PER_MILLION,
        }
    }
}
