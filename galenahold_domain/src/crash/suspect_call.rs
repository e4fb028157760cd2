//! A call that may have crashed its backend server.

use serde::{Deserialize, Serialize};

use crate::crash;

/// A call whose answer had not begun when its backend server crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectCall {
    /// The parts of its prompt that other calls may share, in the order of the prompt, without those
    /// that are known to be harmless.
    pub keys: Vec<crash::PromptKey>,
    /// Whether the head of the answer had arrived: the server was about to write the answer.
    pub answering: bool,
}

impl SuspectCall {
    /// The maximum number of parts that are kept of a prompt.
    pub const MAX_KEYS: usize = 16;

    /// Keeps the last parts of a long prompt, which fewer calls share than the first ones.
    pub(super) fn truncate(&mut self) {
        let excess = self.keys.len().saturating_sub(Self::MAX_KEYS);
        self.keys.drain(..excess);
    }
}
