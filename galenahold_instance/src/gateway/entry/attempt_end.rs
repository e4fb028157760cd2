//! Outcomes of an attempt.

use http::response;

use crate::backend;
use crate::gateway::entry::call_answer;

/// The outcome of an attempt at a backend server.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    /// The server started to answer with a stream of events.
    Stream(backend::BackendExchange),
    /// The server answered completely.
    Complete(CompleteAnswer),
    /// The request was not sent to any server.
    Unsent(&'static str),
    /// The request reached a server and provably did not run.
    NotRun(&'static str),
    /// The request may have run, but has no complete answer.
    MayHaveRun(&'static str),
    /// The request may have run, and must not be sent again because it may crash the next server too.
    Abandoned(&'static str),
}

/// A complete answer of a backend server.
#[derive(Debug)]
pub(super) struct CompleteAnswer {
    /// The status and headers.
    pub(super) head: response::Parts,
    /// The body.
    pub(super) body: bytes::Bytes,
}

impl CompleteAnswer {
    /// Returns whether the server reports that it failed, or refuses a request that may have run.
    pub(super) fn is_failure(&self) -> bool {
        self.head.status.is_server_error() || self.claims_not_run()
    }

    /// Returns whether callers take the status as a guarantee that the request did not run, which
    /// this server did not give: its refusals end as [`AttemptEnd::NotRun`].
    pub(super) fn claims_not_run(&self) -> bool {
        call_answer::guarantees_not_run(self.head.status)
    }
}
