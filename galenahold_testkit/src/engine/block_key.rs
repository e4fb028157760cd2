//! A block of one model.

/// A block of one model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct BlockKey {
    /// The model or adapter.
    pub(crate) model: String,
    /// The block's hash.
    pub(crate) hash: u64,
}
