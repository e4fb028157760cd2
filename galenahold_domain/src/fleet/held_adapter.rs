//! The adapters that notices of backend servers list.

use serde::{Deserialize, Serialize};

use crate::name;

/// An adapter in the accelerator memory of a model engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// The base model of the adapter.
    pub model: name::ModelName,
    /// The adapter.
    pub adapter: name::AdapterName,
}
