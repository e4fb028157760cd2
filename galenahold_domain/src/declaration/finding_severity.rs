//! How bad a finding is.

use std::fmt;

/// Whether a declaration with a finding is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FindingSeverity {
    /// The fleet refuses the declaration.
    Error,
    /// The fleet accepts the declaration, but the part can't work as written.
    Warning,
}

impl fmt::Display for FindingSeverity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}
