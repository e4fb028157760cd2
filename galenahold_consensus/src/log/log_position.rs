//! [`LogPosition`].

use serde::{Deserialize, Serialize};

use crate::log;

/// Term and index of an entry; ordered by term first, as a fencing number is.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Term in which the entry was made.
    pub term: log::Term,
    /// Index of the entry.
    pub index: log::LogIndex,
}
