//! Capacity and models of a service's model engines.

use crate::amount;
use crate::declaration;

/// The model engines of a service: the capacity of each, and the models that it may load.
#[derive(Debug, Clone, PartialEq)]
pub struct DeclaredEngine {
    /// The number of requests that one engine runs at once.
    pub slots: u32,
    /// The number of tokens that one engine's cache holds.
    pub cache_tokens: amount::TokenCount,
    /// The memory of one engine for weights and adapters together.
    pub weight_memory: amount::ByteCount,
    /// The maximum number of adapters that one engine holds.
    pub adapter_slots: u32,
    /// The maximum rate of loads from the weight store, in loads per second over all engines.
    pub store_loads_per_s: f64,
    /// The number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// The models that may be loaded.
    pub models: Vec<declaration::DeclaredModel>,
}

impl DeclaredEngine {
    /// Returns the model with this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&declaration::DeclaredModel> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }
}
