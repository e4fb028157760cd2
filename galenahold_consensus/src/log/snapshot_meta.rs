//! [`SnapshotMeta`].

use serde::{Deserialize, Serialize};

use crate::log;
use crate::member;

/// What a snapshot stands for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last entry that the snapshot contains.
    pub position: log::LogPosition,
    /// Membership in force at that entry.
    pub membership: member::MembershipList,
}
