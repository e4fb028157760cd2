//! Reasons for which a proposal is refused.

/// Reason why a command was refused; a refused command is never committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposeRefusal {
    /// This member is not the leader.
    NotLeader,
    /// A leadership transfer is in progress.
    Transferring,
}
