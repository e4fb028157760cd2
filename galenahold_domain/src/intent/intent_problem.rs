//! One problem that validation found in an intent.

use std::fmt;

/// A problem in an intent. Its `Display` form is the line shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IntentProblem {
    /// The path of the field, such as `teams[2].rate_tokens_per_s`.
    pub field: String,
    /// The invalid value.
    pub value: String,
    /// The requirement that the value does not meet.
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
