//! The result of sending an order.

/// The result of an order to a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OrderResult {
    /// The engine reports success.
    Done,
    /// The engine reports that it refused the order.
    Refused {
        /// The status and the truncated body of the answer.
        reason: String,
    },
    /// No byte of the order was sent.
    NotSent,
    /// The order may have been executed, or may still be.
    Unknown,
}
