//! Status report of an engine.

use galenahold_domain::fleet;
use galenahold_domain::name;

/// Status that an engine reports on request; it lags by some hundred milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Number of orders that the engine has accepted since its start.
    pub orders_taken: u64,
    /// Whether the engine is executing an order for a model.
    pub busy: bool,
    /// Models that the engine holds.
    pub models: Vec<name::ModelName>,
    /// Adapters that the engine holds or is loading.
    pub adapters: Vec<fleet::HeldAdapter>,
}
