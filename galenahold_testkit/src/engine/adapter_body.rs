//! The body of vLLM's calls for adapters.

use serde::Deserialize;

/// The body of vLLM's calls for adapters.
#[derive(Debug, Deserialize)]
pub(crate) struct AdapterBody {
    /// The adapter.
    pub(crate) lora_name: String,
    /// Its base model.
    #[serde(default)]
    pub(crate) base_model_name: String,
    /// Memory it takes.
    #[serde(default)]
    pub(crate) bytes: u64,
    /// The number of the order.
    #[serde(default)]
    pub(crate) order: u64,
}
