//! [`NodeRole`].

/// What a member does at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeRole {
    /// Belongs to no group yet.
    Unjoined,
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads its term.
    Leader,
    /// Has stopped for good: its data folder is an older copy.
    Retired,
}
