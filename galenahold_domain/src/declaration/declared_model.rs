//! A model that engines may load.

use std::time;

use crate::amount;
use crate::name;

/// A model that engines may load.
#[derive(Debug, Clone, PartialEq)]
pub struct DeclaredModel {
    /// Its name.
    pub name: name::ModelName,
    /// Memory for its weights.
    pub weights: amount::ByteCount,
    /// Memory for one of its adapters.
    pub adapter: amount::ByteCount,
    /// Its adapters.
    pub adapters: Vec<name::AdapterName>,
    /// How long a load from the weight store takes.
    pub store_load: time::Duration,
    /// How long a load from the engine's own disk takes.
    pub disk_load: time::Duration,
    /// How long a load from the host's memory takes.
    pub memory_load: time::Duration,
}
