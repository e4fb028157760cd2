//! [`ProposeRefusal`].

/// Why a command was not appended. It is certain that it never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposeRefusal {
    /// The member does not lead.
    NotLeader,
    /// The leader hands its leadership over.
    Transferring,
}
