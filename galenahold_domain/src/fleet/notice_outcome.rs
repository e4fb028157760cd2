//! The effect of a server's notice on the roster.

/// The effect of a backend server's notice on the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeOutcome {
    /// The notice added a server, or a new start of a known server.
    Joined,
    /// The notice changed the server's record.
    Changed,
    /// The notice changed nothing that followers are told of.
    Confirmed,
    /// The notice is older than the record and was ignored.
    Late,
}
