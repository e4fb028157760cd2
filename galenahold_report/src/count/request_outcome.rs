//! Outcomes of requests.

/// The outcome of a request as counted against the objectives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller received the complete answer.
    Answered,
    /// The request was accepted, but the caller received an error or a truncated answer.
    Failed,
    /// The request was refused although the team was within its rate and burst.
    RefusedInsideRate,
    /// The request was refused because the team exceeded its rate and burst or the caller made an error.
    RefusedByRule,
}
