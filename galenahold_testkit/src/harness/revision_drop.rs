//! A revision that went down.

/// A revision that went down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionDrop {
    /// The position of the instance.
    pub instance: usize,
    /// The revision that it had in force.
    pub from: u64,
    /// The lower one that it had later.
    pub to: u64,
}
