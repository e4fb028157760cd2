//! A call that may have crashed its backend server.

use serde::{Deserialize, Serialize};

use crate::crash;

/// A call that was in progress at a backend server when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectCall {
    /// The keys of the call that are not known to be harmless: the parts of its prompt that other calls
    /// may share, in the order of the prompt, unless its answer had begun; and the key of the request.
    pub keys: Vec<crash::PromptKey>,
    /// Whether the head of the answer had arrived, but no more: the server was about to write the
    /// answer.
    pub answering: bool,
    /// How long before the crash the call was sent, in milliseconds.
    #[serde(default)]
    pub age_ms: Option<u64>,
}

impl SuspectCall {
    /// The maximum number of keys that are kept of a call.
    pub const MAX_KEYS: usize = 17;

    /// Keeps the last keys of a long prompt, which fewer calls share than the first ones.
    pub(super) fn truncate(&mut self) {
        let excess = self.keys.len().saturating_sub(Self::MAX_KEYS);
        self.keys.drain(..excess);
    }

    /// Returns whether any part of the prompt is kept.
    pub(super) fn has_parts(&self) -> bool {
        self.keys.iter().any(|key| !key.is_request())
    }

    /// Forgets the parts of the prompt.
    pub(super) fn drop_parts(&mut self) {
        self.keys.retain(|key| key.is_request());
    }
}
