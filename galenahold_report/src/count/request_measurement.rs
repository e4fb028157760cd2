//! Measurements of a request.

use std::time;

use crate::count;

/// The outcome and latencies of one request; times start at its arrival at the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestMeasurement {
    /// How the request ended.
    pub outcome: count::RequestOutcome,
    /// Time until the request was first sent to a backend server.
    pub wait: time::Duration,
    /// Time until the first token or, for a plain service, until the answer; `None` if there was none.
    pub first_token: Option<time::Duration>,
    /// Counts of the gaps between the tokens of the answer.
    pub token_gaps: count::TokenGapCounts,
}
