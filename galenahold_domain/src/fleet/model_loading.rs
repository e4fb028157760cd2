//! The load of a model that a server's record shows as unfinished.

use serde::{Deserialize, Serialize};

use crate::name;

/// A load of a model that is in progress at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelLoading {
    /// The model.
    pub model: name::ModelName,
    /// The duration that was expected when the load began, in milliseconds.
    pub expected_ms: u64,
}
