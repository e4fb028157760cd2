//! Write-ahead log segments that are kept until a snapshot covers them.

use std::path;

use crate::log;

/// A write-ahead log segment that receives no further records.
#[derive(Debug)]
pub(super) struct ClosedSegment {
    pub(super) path: path::PathBuf,
    pub(super) last_index: log::LogIndex,
}
