//! Memory demand and load times of a model.

use std::time;

use crate::amount;
use crate::name;

/// A model that engines may load.
#[derive(Debug, Clone, PartialEq)]
pub struct DeclaredModel {
    /// The model's name.
    pub name: name::ModelName,
    /// The memory that its weights take.
    pub weights: amount::ByteCount,
    /// The memory that one of its adapters takes.
    pub adapter: amount::ByteCount,
    /// The model's adapters.
    pub adapters: Vec<name::AdapterName>,
    /// The duration of a load from the weight store.
    pub store_load: time::Duration,
    /// The duration of a load from the engine's own disk.
    pub disk_load: time::Duration,
    /// The duration of a load from the host's memory.
    pub memory_load: time::Duration,
}
