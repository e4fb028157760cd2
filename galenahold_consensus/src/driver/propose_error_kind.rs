//! [`ProposeErrorKind`].

/// What to think of a failed proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposeErrorKind {
    /// Certainly not committed: this member does not lead.
    NotLeader,
    /// Certainly not committed: too many proposals are under way.
    Busy,
    /// Certainly not committed: the command is longer than the log takes.
    TooLong,
    /// It may have been committed, or may still be.
    OutcomeUnknown,
    /// Certainly not committed: the log has stopped.
    Stopped,
    /// Certainly not committed: the data folder has failed.
    Storage,
}

impl ProposeErrorKind {
    /// Tells whether the command may have been committed, or may still be.
    #[must_use]
    pub const fn may_have_committed(self) -> bool {
        matches!(self, Self::OutcomeUnknown)
    }
}
