//! [`HardState`].

use serde::{Deserialize, Serialize};

use crate::log;
use crate::member;

/// The part of a member's state that it must never forget besides its log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: log::Term,
    /// Candidate that got this member's vote in the term.
    pub voted_for: Option<member::MemberId>,
}
