//! How a part of a declaration differs.

use crate::declaration;

/// How a part differs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DifferenceKind {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// A field has another value. Keys are counted, never shown.
    Changed {
        /// The field.
        field: declaration::DeclaredField,
        /// The value in force.
        before: String,
        /// The value in the new declaration.
        after: String,
    },
}
