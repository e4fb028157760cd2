//! Role of a member, as reported in its status.

/// Current role of a member in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeRole {
    /// Has not joined a group yet.
    Unjoined,
    /// Follows a leader, or waits to learn of one.
    Follower,
    /// Requests votes or pre-votes.
    Candidate,
    /// Is the leader of its term.
    Leader,
    /// Has stopped permanently because its data folder is an older copy.
    Retired,
}
