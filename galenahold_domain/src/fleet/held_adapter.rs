//! An adapter in an engine's memory.

use serde::{Deserialize, Serialize};

use crate::name;

/// An adapter in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// Its base model.
    pub model: name::ModelName,
    /// The adapter.
    pub adapter: name::AdapterName,
}
