//! Why an attempt at a backend server failed.

use galenahold_domain::verdict;
use snafu::Snafu;

use crate::dispatch;

/// Why an attempt at a backend server failed, with the verdict on the request.
#[derive(Debug, Snafu)]
#[snafu(display("{kind}; verdict {verdict}"))]
pub(crate) struct AttemptError {
    /// What failed.
    pub(crate) kind: AttemptErrorKind,
    /// Whether the request may have run.
    pub(crate) verdict: verdict::RequestVerdict,
}

/// What failed in an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum AttemptErrorKind {
    /// No connection came about.
    #[snafu(display("the backend server could not be connected"))]
    Connect,
    /// The connection was gone before a byte of the request was written.
    #[snafu(display("the connection was closed before the request was written"))]
    Unsent,
    /// The connection broke after bytes of the request were written.
    #[snafu(display("the connection broke before the answer"))]
    Broken,
    /// The answer did not come in time.
    #[snafu(display("the answer did not come in time"))]
    Timeout,
    /// The answer belongs to another request.
    #[snafu(display("the answer carries another request id"))]
    WrongRequestId,
    /// The answer ended before its end.
    #[snafu(display("the answer was cut short"))]
    Cut,
    /// The backend server said that it did not run the request.
    #[snafu(display("the backend server refused the request"))]
    Refused,
    /// The backend server answered with a server error.
    #[snafu(display("the backend server answered with an error"))]
    ServerError,
}

impl AttemptError {
    /// Creates an error of a request that did not run.
    pub(crate) fn not_run(kind: AttemptErrorKind) -> Self {
        Self {
            kind,
            verdict: verdict::RequestVerdict::NotRun,
        }
    }

    /// Creates an error of a request that may have run.
    pub(crate) fn may_have_run(kind: AttemptErrorKind) -> Self {
        Self {
            kind,
            verdict: verdict::RequestVerdict::MayHaveRun,
        }
    }

    /// Returns what the error says of the backend server.
    pub(crate) fn attempt_outcome(&self) -> dispatch::AttemptOutcome {
        match self.kind {
            AttemptErrorKind::Refused => dispatch::AttemptOutcome::ReplicaMissing,
            AttemptErrorKind::Connect => dispatch::AttemptOutcome::Unreachable,
            AttemptErrorKind::ServerError => dispatch::AttemptOutcome::Answered,
            _ => dispatch::AttemptOutcome::Failed,
        }
    }
}
