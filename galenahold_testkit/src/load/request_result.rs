//! What became of one request.

use std::time;

use super::request_end::RequestEnd;

/// An end with its times.
#[derive(Debug)]
pub(crate) struct RequestResult {
    /// How it ended.
    pub(crate) end: RequestEnd,
    /// Output tokens received.
    pub(crate) tokens: u64,
    /// When the first token, or the whole answer, came.
    pub(crate) first_at: Option<time::Instant>,
    /// Times between tokens.
    pub(crate) gaps: Vec<time::Duration>,
}

impl RequestResult {
    /// Makes the result of a request without tokens.
    pub(crate) fn ended(end: RequestEnd) -> Self {
        Self {
            end,
            tokens: 0,
            first_at: None,
            gaps: Vec::new(),
        }
    }
}
