//! What came of a notice.

/// What came of a notice of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeOutcome {
    /// It is from a server, or a start of one, that was not known.
    Joined,
    /// It changed what was known.
    Changed,
    /// It only confirmed what was known.
    Confirmed,
    /// It is older than what is known and changed nothing.
    Late,
}
