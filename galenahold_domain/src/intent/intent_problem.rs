//! One fault of an intent.

use std::fmt;

/// One fault of an intent. Its `Display` form is the line that operators read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IntentProblem {
    /// The path of the field, such as `teams[2].rate_tokens_per_s`.
    pub field: String,
    /// The value as it is.
    pub value: String,
    /// What it must be.
    pub requirement: String,
}

impl fmt::Display for IntentProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {}: {}",
            self.field, self.value, self.requirement
        )
    }
}
