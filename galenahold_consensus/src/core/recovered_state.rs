//! [`RecoveredState`].

use crate::log;
use crate::message;

/// What a data folder holds when a member starts.
#[derive(Debug, Clone, Default)]
pub struct RecoveredState {
    /// Term and vote.
    pub hard_state: log::HardState,
    /// Last snapshot.
    pub snapshot: Option<log::SnapshotImage>,
    /// The entries after the snapshot, without a gap.
    pub entries: Vec<log::LogEntry>,
    /// What is known of the other members' durable state.
    pub marks: Vec<message::MemberWatermark>,
}
