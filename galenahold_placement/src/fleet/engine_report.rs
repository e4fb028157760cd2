//! What an engine reports of itself when it is asked.

use galenahold_domain::fleet;
use galenahold_domain::name;

/// What an engine reports of itself when it is asked; it lags by some hundred milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Orders that it has taken since its start.
    pub orders_taken: u64,
    /// Whether it carries an order about a model out.
    pub busy: bool,
    /// The models that it holds.
    pub models: Vec<name::ModelName>,
    /// The adapters that it holds or fetches.
    pub adapters: Vec<fleet::HeldAdapter>,
}
