//! What became of an order to a model engine.

/// What became of an order to a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OrderResult {
    /// The engine says that it is done.
    Done,
    /// The engine says that it refused the order.
    Refused {
        /// The status and body, shortened.
        reason: String,
    },
    /// No byte of the order left.
    NotSent,
    /// The order may have been carried out, or may still be.
    Unknown,
}
