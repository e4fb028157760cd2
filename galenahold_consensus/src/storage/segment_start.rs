//! The header record of write-ahead log segments.

use serde::{Deserialize, Serialize};

use crate::log;
use crate::member;
use crate::message;

/// First record of a segment.
///
/// It repeats the state that must survive the removal of earlier segments.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct SegmentStart {
    pub(super) sequence: u64,
    pub(super) member: member::MemberId,
    pub(super) hard_state: log::HardState,
    pub(super) marks: Vec<message::MemberWatermark>,
}
