//! What may be done with a call after an unclear end.

/// What a route's calls are and what may be done with one after an unclear end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with events and runs at most once.
    Stream,
    /// Answers with events; another run may go on after the last event that was passed on.
    ResumableStream,
}

impl CallKind {
    /// Returns whether a call may run again after an attempt that may have run.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a series of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
