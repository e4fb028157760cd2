//! State that one call carries from attempt to attempt.

use std::time;

use galenahold_domain::name;
use galenahold_domain::verdict;
use galenahold_routing::retry;

use crate::api;
use crate::backend;
use crate::dispatch;

/// The state that one call carries from attempt to attempt.
#[derive(Debug)]
pub(crate) struct AttemptState {
    /// The number of attempts so far.
    pub(super) count: u32,
    /// The backoff between attempts.
    pub(super) backoff: retry::RetryBackoff,
    /// The backend server of the last attempt.
    pub(super) avoided_server: Option<name::ServerName>,
    /// The worst verdict of all attempts.
    pub(super) worst_verdict: verdict::RequestVerdict,
    /// Whether the answer has begun: the call did not crash its server by being answered.
    pub(super) has_begun: bool,
}

/// The error of a failed attempt and the backend server that it was sent to.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    /// The error of the attempt.
    pub(crate) error: backend::AttemptError,
    /// The backend server that the attempt was sent to.
    pub(crate) address: backend::BackendAddress,
    /// When the attempt got its slot there.
    pub(crate) began_at: time::Instant,
}

impl FailedAttempt {
    /// Ends an attempt, releasing its slot with the outcome that follows from the error.
    pub(crate) fn new(
        slot: dispatch::ReplicaSlot,
        outcome: dispatch::AttemptOutcome,
        error: backend::AttemptError,
    ) -> Self {
        let address = slot.address().clone();
        let began_at = slot.taken_at();
        slot.finish(outcome);
        Self {
            error,
            address,
            began_at,
        }
    }
}

/// The reason why an attempt produced no answer.
#[derive(Debug)]
pub(crate) enum AttemptStop {
    /// The call is refused; no further attempt follows.
    Refused(api::RequestRefusal),
    /// The attempt failed; another one may follow.
    Failed(FailedAttempt),
}

impl AttemptState {
    /// Creates the state before the first attempt.
    pub(super) fn new(backoff: retry::RetryBackoff) -> Self {
        Self {
            count: 0,
            backoff,
            avoided_server: None,
            worst_verdict: verdict::RequestVerdict::NotRun,
            has_begun: false,
        }
    }

    /// Raises a refusal's verdict to the worst verdict of all attempts.
    pub(crate) fn worsen(&self, mut refusal: api::RequestRefusal) -> api::RequestRefusal {
        refusal.verdict = refusal.verdict.max(self.worst_verdict);
        refusal
    }
}

impl From<api::RequestRefusal> for AttemptStop {
    fn from(refusal: api::RequestRefusal) -> Self {
        Self::Refused(refusal)
    }
}
