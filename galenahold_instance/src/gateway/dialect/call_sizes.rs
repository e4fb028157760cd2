//! The stated sizes of a request.

use galenahold_domain::amount;

/// The tokens of a request as its caller states them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallSizes {
    /// Tokens of the prompt.
    pub prompt: amount::TokenCount,
    /// Maximum tokens of the output.
    pub max_output: amount::TokenCount,
    /// The caller's estimate of the tokens of the output, which is often far off.
    pub hinted_output: Option<amount::TokenCount>,
}

impl CallSizes {
    /// Returns the tokens of the prompt plus the maximum output.
    #[must_use]
    pub fn total(&self) -> amount::TokenCount {
        amount::TokenCount(self.prompt.0.saturating_add(self.max_output.0))
    }
}
