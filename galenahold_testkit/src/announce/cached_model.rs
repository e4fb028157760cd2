//! A checkpoint that is cached near an engine.

use super::CacheTier;
use serde::{Deserialize, Serialize};

/// A checkpoint that is cached near an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedModel {
    /// The model.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Where it is cached.
    pub tier: CacheTier,
}
