//! Prompts that are refused.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::crash;

/// The parts that a prompt contains together if it crashes backend servers: one part, or several that
/// have only been seen together; or the key of a request that does.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockedPrompt {
    keys: Vec<crash::PromptKey>,
}

impl BlockedPrompt {
    /// Blocks the prompts that contain all of the parts; an empty list blocks none.
    #[must_use]
    pub fn new(mut keys: Vec<crash::PromptKey>) -> Self {
        keys.sort_unstable();
        Self { keys }
    }

    /// Returns the parts.
    #[must_use]
    pub fn keys(&self) -> &[crash::PromptKey] {
        &self.keys
    }

    /// Returns whether a single request is blocked rather than all with certain parts.
    #[must_use]
    pub fn is_request(&self) -> bool {
        self.keys.iter().any(|key| key.is_request())
    }

    /// Returns whether a call with these keys is blocked.
    #[must_use]
    pub fn matches(&self, prompt: &[crash::PromptKey]) -> bool {
        !self.keys.is_empty() && self.keys.iter().all(|key| prompt.contains(key))
    }
}

impl fmt::Display for BlockedPrompt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, key) in self.keys.iter().enumerate() {
            let separator = if position == 0 { "" } else { "+" };
            write!(formatter, "{separator}{key}")?;
        }
        Ok(())
    }
}
