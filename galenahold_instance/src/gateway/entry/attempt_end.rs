//! How an attempt ended.

use http::response;

use crate::backend;

/// How an attempt at a backend server ended.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    /// The server began to answer with a stream of events.
    Stream(backend::BackendExchange),
    /// The server answered, and the answer is whole.
    Complete(CompleteAnswer),
    /// The request never left for a server.
    Unsent(&'static str),
    /// The request reached a server and provably did not run.
    NotRun(&'static str),
    /// The request may have run and has no whole answer.
    MayHaveRun(&'static str),
}

/// A server's whole answer.
#[derive(Debug)]
pub(super) struct CompleteAnswer {
    /// Status and headers.
    pub(super) head: response::Parts,
    /// The body.
    pub(super) body: bytes::Bytes,
}

impl CompleteAnswer {
    /// Returns whether the server says that it failed.
    pub(super) fn is_failure(&self) -> bool {
        self.head.status.is_server_error()
    }
}
