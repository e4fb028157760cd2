//! Notifications about the content of prefix caches.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::name;

/// A model engine's notification of changes in its prefix cache.
///
/// Events arrive late, and some are lost, which shows as gaps in `sequence`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The name of the backend server.
    pub name: name::ServerName,
    /// The incarnation of the backend server.
    pub incarnation: amount::IncarnationNumber,
    /// The number of the event, which grows by one; a missing number is a lost event.
    pub sequence: u64,
    /// The model that the cache belongs to.
    pub model: name::ModelName,
    /// The hashes of prefix blocks that were stored.
    #[serde(default)]
    pub stored: Vec<u64>,
    /// The hashes of prefix blocks that were dropped.
    #[serde(default)]
    pub removed: Vec<u64>,
    /// Whether all blocks stored before this event were dropped.
    #[serde(default)]
    pub cleared: bool,
}
