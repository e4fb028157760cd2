//! The reason to refuse a call for its prompt.

use galenahold_domain::crash;

/// Why a call is refused for its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptRefusal {
    /// The blocked parts that the prompt contains.
    pub blocked: crash::BlockedPrompt,
    /// Whether the block is so recent that an instance may still report the parts as harmless.
    pub is_provisional: bool,
}
