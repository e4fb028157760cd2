//! How an order to a backend server ended.

/// How a load or unload order to a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server answered that the replica is loaded.
    Loaded,
    /// The server answered that the replica is gone.
    Unloaded,
    /// The server answered that it did not act.
    Refused,
    /// The order provably never left.
    NotSent,
    /// The order was sent and its answer is lost.
    Unknown,
}
