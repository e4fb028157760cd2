//! The way that bytes take through a link.

/// The way that bytes take through a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkDirection {
    /// From the connecting side to the target.
    ToServer,
    /// From the target back.
    ToClient,
}
