//! What a review of a declaration has found.

use crate::declaration;

/// A problem of a declaration and its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclarationFinding {
    /// Whether the declaration is accepted with it.
    pub severity: declaration::FindingSeverity,
    /// The place.
    pub place: declaration::DeclarationPlace,
    /// The problem, with the names and values concerned.
    pub problem: String,
}
