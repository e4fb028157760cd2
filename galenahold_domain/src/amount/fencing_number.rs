//! Orders the control group's decisions for receivers that check it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Orders the control group's decisions: the term and the log index of the commit.
///
/// Its text form is `TERM.INDEX`, which is what the header `x-fencing-number` carries.
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
