//! The fencing token by which receivers reject outdated decisions of the control group.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The position of a decision in the control group's log: the term and the index of its commit.
///
/// Later decisions have greater numbers, so that a receiver can refuse an outdated one. The text
/// form, which the header `x-fencing-number` carries, is `TERM.INDEX`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingNumber {
    /// The term in which the decision was committed.
    pub term: u64,
    /// The log index of the decision.
    pub index: u64,
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.term, self.index)
    }
}
