//! Answer to an order.

/// Answer of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReceipt {
    /// The engine is executing the order.
    Accepted,
    /// The result already holds, or the order completed at once.
    Done,
    /// Another order is in progress, or the engine has accepted orders that the sender did not
    /// know.
    Busy,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The address belongs to another server, or to another run of the server.
    Misplaced,
    /// The engine does not support the order.
    Refused,
    /// No answer arrived: the order may be executed now, later or never.
    Unanswered,
    /// The order was not sent.
    NotSent,
}
