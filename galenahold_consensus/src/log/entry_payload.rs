//! Contents of a log entry.

use serde::{Deserialize, Serialize};

use crate::member;

/// Payload of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// No-op with which a leader starts its term; committing it commits the entries of earlier
    /// terms.
    Blank,
    /// Command for the state machine, opaque to consensus.
    Command(bytes::Bytes),
    /// Membership in force from this entry on.
    Membership(member::MembershipList),
}
