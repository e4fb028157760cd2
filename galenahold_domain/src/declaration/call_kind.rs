//! The retry semantics of a route's calls.

/// The kind of a route's calls, which decides whether a call whose outcome is unknown is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A call that may run more than once.
    Idempotent,
    /// A call that runs at most once.
    NonIdempotent,
    /// A call that is answered with a stream of events and runs at most once.
    Stream,
    /// A call that is answered with a stream of events, which another run may resume after the last
    /// event that was relayed.
    ResumableStream,
}

impl CallKind {
    /// Returns whether a call may run again if an earlier attempt may already have run.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
