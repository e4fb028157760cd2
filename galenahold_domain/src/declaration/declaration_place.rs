//! A place in a declaration.

use crate::declaration;

/// A part of a declaration, and a field in it if a single one is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeclarationPlace {
    /// The part.
    pub part: declaration::DeclaredPart,
    /// The field, if a single one is concerned.
    pub field: Option<declaration::DeclaredField>,
}

impl DeclarationPlace {
    /// Returns the place of a field.
    #[must_use]
    pub fn field(part: declaration::DeclaredPart, field: declaration::DeclaredField) -> Self {
        Self {
            part,
            field: Some(field),
        }
    }

    /// Returns the place of a whole part.
    #[must_use]
    pub fn part(part: declaration::DeclaredPart) -> Self {
        Self { part, field: None }
    }
}
