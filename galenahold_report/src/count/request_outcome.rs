//! How a request ended, as far as the objectives are concerned.

/// How a request ended, as far as the objectives are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller got its whole answer.
    Answered,
    /// The request was accepted and the caller got an error or a cut answer.
    Failed,
    /// The request was refused although the team was inside its rate and burst.
    RefusedInsideRate,
    /// The request was refused because the team was over its rate and burst, or by the caller's own fault.
    RefusedByRule,
}
