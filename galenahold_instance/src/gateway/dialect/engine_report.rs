//! What an engine reports of itself when it is asked.

/// What an engine reports of itself when it is asked; it lags by some hundred milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Orders that it has taken since its start.
    pub orders_taken: u64,
}
