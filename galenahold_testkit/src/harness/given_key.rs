//! A key as an operator gives it.

/// A key as an operator gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GivenKey {
    /// The public part, by which it is withdrawn.
    pub id: String,
    /// The key that callers show.
    pub key: String,
}
