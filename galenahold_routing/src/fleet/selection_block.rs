//! Why a call cannot be sent to any server now.

use crate::load;

/// Why no server takes a call now, although some hold its model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SelectionBlock {
    /// All slots are taken, or no server can be used.
    Slots,
    /// The call's expected tokens do not fit into the memory of any server.
    Memory,
    /// The call's prompt would make streams pause too long, and its objective allows it to wait.
    Prompt,
}

impl SelectionBlock {
    /// Returns whether a call that is blocked also blocks one that comes after it.
    ///
    /// Smaller calls overtake a call whose prompt or expected tokens find no room.
    pub(super) fn blocks(self, blocked: &load::CallWork, next: &load::CallWork) -> bool {
        let tokens = |work: &load::CallWork| work.prompt_tokens.saturating_add(work.output_tokens);
        match self {
            Self::Slots => true,
            Self::Memory => tokens(next) >= tokens(blocked),
            Self::Prompt => next.prompt_tokens >= blocked.prompt_tokens,
        }
    }
}
