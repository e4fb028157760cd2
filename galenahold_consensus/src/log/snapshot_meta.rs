//! Snapshot metadata, stored and sent with each snapshot.

use serde::{Deserialize, Serialize};

use crate::log;
use crate::member;

/// Log position and membership of a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Position of the last entry that the snapshot includes.
    pub position: log::LogPosition,
    /// Membership in force at that entry.
    pub membership: member::MembershipList,
}
