//! Identification of a part of a prompt.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a part of a prompt that several calls may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptKey(pub u64);

impl fmt::Display for PromptKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}
