//! What a model engine tells of its prefix cache.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::name;

/// What a model engine tells of its prefix cache; late, and with gaps in `sequence`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The backend server's name.
    pub name: name::ServerName,
    /// Its incarnation.
    pub incarnation: amount::IncarnationNumber,
    /// Grows by one with each event; a missing number is a gap.
    pub sequence: u64,
    /// The model whose cache it is.
    pub model: name::ModelName,
    /// Hashes of prefix blocks that were stored.
    #[serde(default)]
    pub stored: Vec<u64>,
    /// Hashes of prefix blocks that were dropped.
    #[serde(default)]
    pub removed: Vec<u64>,
    /// Whether everything stored before this event is gone.
    #[serde(default)]
    pub cleared: bool,
}
