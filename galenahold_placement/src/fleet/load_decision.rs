//! Record of one decision to load a model.

use std::time;

use galenahold_domain::name;

/// A decision to load a model, or to evict another one for it, with its inputs.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadDecision {
    /// The model to load.
    pub model: name::ModelName,
    /// The engine.
    pub server: name::ServerName,
    /// The model that is evicted first.
    pub victim: Option<name::ModelName>,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// Weighted calls that the load serves per second of its duration.
    pub urgency: f64,
    /// Value of the model in requests per second, waiting calls included.
    pub value: f64,
    /// Requests per second for the model.
    pub rate: f64,
    /// Calls that wait for the model.
    pub waiting: u32,
    /// Time until the first of them misses its objective; zero if it has.
    pub earliest_due: Option<time::Duration>,
    /// Age of the last demand report for the model.
    pub demand_age: Option<time::Duration>,
    /// Expected time until the model is loaded, that of the eviction included.
    pub expected: time::Duration,
}
