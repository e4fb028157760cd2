//! A load that is under way.

use serde::{Deserialize, Serialize};

use crate::name;

/// A load that is under way at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelLoading {
    /// The model.
    pub model: name::ModelName,
    /// How long it was expected to take when it began, in milliseconds.
    pub expected_ms: u64,
}
