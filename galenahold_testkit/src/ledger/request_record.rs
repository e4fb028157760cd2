//! One request as a server saw it.

use serde::{Deserialize, Serialize};

use super::{HeaderRecord, RequestOutcome};

/// Header that names the team of a request, if the product sends one.
const TEAM_HEADER: &str = "x-team";

/// Holds what a server received, ran and answered for one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The value of `x-request-id`, empty without one.
    pub request_id: String,
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// All headers received.
    pub headers: Vec<HeaderRecord>,
    /// The value of `x-team`, if any.
    pub team: Option<String>,
    /// The model or adapter, empty at plain services.
    pub model: String,
    /// The base model that ran it, empty when none did.
    pub base_model: String,
    /// The engine's priority value; lower runs first.
    pub priority: i64,
    /// The output tokens skipped by a resumed request.
    pub resume_offset: u64,
    /// Microseconds since the Unix epoch at arrival.
    pub started_us: u64,
    /// Microseconds since the Unix epoch at the end.
    pub ended_us: Option<u64>,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt whose prefix was cached.
    pub cached_tokens: u64,
    /// Tokens produced for this request so far.
    pub output_tokens: u64,
}

impl RequestRecord {
    /// Records the arrival of a request.
    pub(crate) fn arrived(parts: &http::request::Parts, started_us: u64) -> Self {
        let headers = HeaderRecord::list(&parts.headers);
        let value_of = |name: &str| {
            headers
                .iter()
                .find(|header| header.name == name)
                .map(|header| header.value.clone())
        };
        Self {
            request_id: value_of(crate::http::REQUEST_ID_HEADER).unwrap_or_default(),
            method: parts.method.to_string(),
            path: parts.uri.to_string(),
            team: value_of(TEAM_HEADER),
            headers,
            model: String::new(),
            base_model: String::new(),
            priority: 0,
            resume_offset: 0,
            started_us,
            ended_us: None,
            outcome: RequestOutcome::Running,
            prompt_tokens: 0,
            cached_tokens: 0,
            output_tokens: 0,
        }
    }

    /// Tells whether any header, path or query holds `text`.
    #[must_use]
    pub fn mentions(&self, text: &str) -> bool {
        self.path.contains(text)
            || self
                .headers
                .iter()
                .any(|header| header.value.contains(text))
    }
}
