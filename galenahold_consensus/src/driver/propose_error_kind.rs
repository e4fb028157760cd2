//! Categories of proposal errors, which tell whether a retry is safe.

/// Category of a [`ProposeError`](super::ProposeError).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposeErrorKind {
    /// Certainly not committed: this member is not the leader.
    NotLeader,
    /// Certainly not committed: too many proposals are pending, or leadership is being transferred.
    Busy,
    /// Certainly not committed: the command exceeds the maximum size.
    TooLong,
    /// The command may have been committed, or may still be committed later.
    OutcomeUnknown,
    /// Certainly not committed: the log has stopped.
    Stopped,
    /// Certainly not committed: the member has failed for good, usually because of its data folder.
    Storage,
}

impl ProposeErrorKind {
    /// Returns whether the command may have been committed, or may still be committed later.
    #[must_use]
    pub const fn may_have_committed(self) -> bool {
        matches!(self, Self::OutcomeUnknown)
    }
}
