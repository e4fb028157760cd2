//! The result of one team on one route.

use serde::{Deserialize, Serialize};

use super::{LatencySummary, RouteKind, VerdictCount};

/// What became of a team's requests; the team is empty for all teams together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteResult {
    /// The way that they took.
    pub route: Option<RouteKind>,
    /// The team.
    pub team: String,
    /// Requests sent.
    pub sent: u64,
    /// Whole and right answers.
    pub answered: u64,
    /// Answers to the wrong request, or with wrong text, or short without an error.
    pub wrong: u64,
    /// Refusals with a status of 4xx or 5xx.
    pub refused: u64,
    /// Refusals with 429 of requests within the team's rate.
    pub refused_inside_rate: u64,
    /// Streams that ended in an error event.
    pub failed_streams: u64,
    /// Connections that broke before the answer's end.
    pub broken: u64,
    /// Requests without an end in time.
    pub timed_out: u64,
    /// Output tokens received.
    pub tokens: u64,
    /// Refusals, and with status 200 failed streams, by status and verdict.
    pub verdicts: Vec<VerdictCount>,
    /// From the planned arrival to the first token, or to the answer of an order.
    pub first_token: LatencySummary,
    /// The same, only for models that were idle before.
    pub first_token_after_idle: LatencySummary,
    /// Between tokens.
    pub between_tokens: LatencySummary,
    /// From the planned arrival to the end.
    pub total: LatencySummary,
}
