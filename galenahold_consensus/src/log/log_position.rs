//! Position in the replicated log, unique across terms.

use serde::{Deserialize, Serialize};

use crate::log;

/// Term and index of a log entry.
///
/// Positions are ordered by term first, so that they can serve as fencing tokens.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Term in which the entry was created.
    pub term: log::Term,
    /// Index of the entry.
    pub index: log::LogIndex,
}
