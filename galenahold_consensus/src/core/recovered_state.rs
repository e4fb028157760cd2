//! State with which a member restarts.

use crate::log;
use crate::message;

/// State that a member recovers from its data folder when it starts.
#[derive(Debug, Clone, Default)]
pub struct RecoveredState {
    /// Current term and vote.
    pub hard_state: log::HardState,
    /// Latest snapshot.
    pub snapshot: Option<log::SnapshotImage>,
    /// Entries after the snapshot, without a gap.
    pub entries: Vec<log::LogEntry>,
    /// Watermarks of the other members.
    pub marks: Vec<message::MemberWatermark>,
}
