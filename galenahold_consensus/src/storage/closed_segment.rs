//! [`ClosedSegment`].

use std::path;

use crate::log;

/// A segment that is no longer written.
#[derive(Debug)]
pub(super) struct ClosedSegment {
    pub(super) path: path::PathBuf,
    pub(super) last_index: log::LogIndex,
}
