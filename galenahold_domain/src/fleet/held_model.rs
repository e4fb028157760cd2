//! The models that notices of backend servers list.

use serde::{Deserialize, Serialize};

use crate::name;

/// A model in the accelerator memory of a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub name: name::ModelName,
    /// The version of its weights.
    pub version: u64,
    /// Whether the model is about to be unloaded and takes no new requests.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub retiring: bool,
}
