//! A change of an engine's prefix cache.

use serde::{Deserialize, Serialize};

/// The body of `POST /v1/backend/cache-events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The engine's name.
    pub name: String,
    /// The engine's incarnation.
    pub incarnation: u64,
    /// Rises by one with every event; a gap means that events are lost.
    pub sequence: u64,
    /// The model whose prefixes are meant.
    pub model: String,
    /// Block hashes that were stored, as 16 hexadecimal digits.
    pub stored: Vec<String>,
    /// Block hashes that were removed.
    pub removed: Vec<String>,
    /// Whether all blocks of the model are gone.
    pub cleared: bool,
}
