//! Errors of single attempts at backend servers.

use galenahold_domain::verdict;
use snafu::Snafu;

use crate::dispatch;

/// The error of a failed attempt, with the verdict on whether the request may have run.
#[derive(Debug, Snafu)]
#[snafu(display("{kind}; verdict {verdict}"))]
pub(crate) struct AttemptError {
    /// The kind of failure.
    pub(crate) kind: AttemptErrorKind,
    /// Whether the request may have run.
    pub(crate) verdict: verdict::RequestVerdict,
}

/// The kind of failure of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum AttemptErrorKind {
    /// The connection could not be established.
    #[snafu(display("could not connect to the backend server"))]
    Connect,
    /// The backend server left, or its replica began to drain, before the request was sent.
    #[snafu(display("the backend server left before the request was sent"))]
    Departed,
    /// The connection was closed before any byte of the request was written.
    #[snafu(display("the connection was closed before the request was written"))]
    Unsent,
    /// The connection was lost after bytes of the request were written.
    #[snafu(display("the connection was lost before the answer arrived"))]
    Broken,
    /// The answer did not arrive before the deadline.
    #[snafu(display("the answer did not arrive in time"))]
    Timeout,
    /// The answer's status is not that of a final answer.
    #[snafu(display("the answer's status is not that of a final answer"))]
    InvalidStatus,
    /// The answer carries the id of another request.
    #[snafu(display("the answer carries the id of another request"))]
    WrongRequestId,
    /// The answer was truncated, or is larger than allowed.
    #[snafu(display("the answer was cut short"))]
    Cut,
    /// The backend server stated that it did not run the request.
    #[snafu(display("the backend server refused the request"))]
    Refused,
    /// The backend server answered with a 5xx status.
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

    /// Returns what the error means for the state of the replica and its backend server.
    pub(crate) fn attempt_outcome(&self) -> dispatch::AttemptOutcome {
        match self.kind {
            AttemptErrorKind::Refused => dispatch::AttemptOutcome::ReplicaMissing,
            AttemptErrorKind::Connect => dispatch::AttemptOutcome::Unreachable,
            AttemptErrorKind::Departed => dispatch::AttemptOutcome::Unknown,
            AttemptErrorKind::ServerError => dispatch::AttemptOutcome::Answered,
            _ => dispatch::AttemptOutcome::Failed,
        }
    }
}
