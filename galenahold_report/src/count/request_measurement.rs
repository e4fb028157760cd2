//! What was measured of one request.

use std::time;

use crate::count;

/// What was measured of one request, from its arrival at the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestMeasurement {
    /// How it ended.
    pub outcome: count::RequestOutcome,
    /// Time that it waited before it was first sent to a backend server.
    pub wait: time::Duration,
    /// Time to the first token or, for a plain service, to the answer; nothing where none came.
    pub first_token: Option<time::Duration>,
    /// The gaps between its tokens.
    pub token_gaps: count::TokenGapCounts,
}
