//! [`EntryPayload`].

use serde::{Deserialize, Serialize};

use crate::member;

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Marks the start of a leader's term.
    Blank,
    /// A command of the state machine, opaque to consensus.
    Command(bytes::Bytes),
    /// The membership from this entry on.
    Membership(member::MembershipList),
}
