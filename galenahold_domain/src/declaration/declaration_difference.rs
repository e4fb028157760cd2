//! A difference between two declarations.

use crate::declaration;

/// A difference between the declaration in force and a new one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclarationDifference {
    /// The part.
    pub part: declaration::DifferingPart,
    /// How it differs.
    pub kind: declaration::DifferenceKind,
}
