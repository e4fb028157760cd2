//! The model engines of a service.

use crate::amount;
use crate::declaration;

/// The model engines of a service: what each can hold and what may be loaded.
#[derive(Debug, Clone, PartialEq)]
pub struct DeclaredEngine {
    /// Requests that one engine works on at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub cache_tokens: amount::TokenCount,
    /// Memory of one engine for weights and adapters together.
    pub weight_memory: amount::ByteCount,
    /// Adapters that one engine holds at most.
    pub adapter_slots: u32,
    /// Loads from the weight store a second, over all engines.
    pub store_loads_per_s: f64,
    /// Tokens that one event of a stream holds.
    pub tokens_per_event: u32,
    /// The models that may be loaded.
    pub models: Vec<declaration::DeclaredModel>,
}

impl DeclaredEngine {
    /// Returns the model.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&declaration::DeclaredModel> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }
}
