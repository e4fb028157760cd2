//! Outcome of an order.

/// Outcome of a load or unload order to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server answered that the replica is loaded.
    Loaded,
    /// The server answered that the replica is unloaded.
    Unloaded,
    /// The server answered that it did not execute the order.
    Refused,
    /// The order was certainly not sent.
    NotSent,
    /// The order was sent, but its answer was lost.
    Unknown,
}
