//! What became of one request.

use std::time;

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// Whole and right.
    Answered,
    /// Of another request, with wrong text, or short without an error.
    Wrong,
    /// Refused with a status.
    Refused {
        /// The status.
        status: u16,
        /// The value of `x-verdict`.
        verdict: String,
        /// The `type` of the error.
        kind: String,
    },
    /// A stream that ended in an error event.
    FailedStream,
    /// A connection that broke before the end.
    Broken,
    /// No end in time.
    TimedOut,
}

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
