//! What an engine answered to an order.

/// What an engine answered to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReceipt {
    /// It carries the order out.
    Accepted,
    /// What was ordered holds already, or was done at once.
    Done,
    /// Another order is under way there, or it has taken others than its sender knew of.
    Busy,
    /// It has seen a higher fencing number.
    Fenced,
    /// Another server, or another start of it, has the address.
    Misplaced,
    /// It does not take such an order.
    Refused,
    /// No answer came: the order may be carried out now, later or never.
    Unanswered,
    /// The order never left.
    NotSent,
}
