//! What goes from attempt to attempt of one call.

use galenahold_domain::name;
use galenahold_domain::verdict;
use galenahold_routing::retry;

use crate::api;
use crate::backend;

/// What goes from attempt to attempt of one call.
#[derive(Debug)]
pub(crate) struct AttemptState {
    /// Attempts so far.
    pub(super) count: u32,
    /// The pauses between them.
    pub(super) backoff: retry::RetryBackoff,
    /// The backend server of the last one.
    pub(super) avoided_server: Option<name::ServerName>,
    /// The worst of their verdicts.
    pub(super) worst_verdict: verdict::RequestVerdict,
}

/// An attempt that failed, and the backend server at which it did.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    /// What failed.
    pub(crate) error: backend::AttemptError,
    /// The backend server.
    pub(crate) server: name::ServerName,
}

/// Why an attempt brought no answer.
#[derive(Debug)]
pub(crate) enum AttemptStop {
    /// The call is refused.
    Refused(api::RequestRefusal),
    /// The attempt failed; another may follow.
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
        }
    }

    /// Gives a refusal the worst verdict of all attempts.
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
