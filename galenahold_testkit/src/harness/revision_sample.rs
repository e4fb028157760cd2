//! One look at an instance's revision.

/// What one instance says about the revision that it has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionSample {
    /// The revision.
    pub revision: u64,
    /// Whether the instance says that a quorum confirmed it lately.
    pub fresh: bool,
}
