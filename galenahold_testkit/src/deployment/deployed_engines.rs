//! The model engines of a deployment.

use serde::{Deserialize, Serialize};

use crate::engine;

/// Describes engines of one kind, spread evenly over the data centres.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeployedEngines {
    /// The service that they run; each engine is named after it.
    pub service: String,
    /// The number of engines.
    pub count: usize,
    /// The first so many engines refuse orders with an old fencing number; the others do not.
    pub checking_fencing: usize,
    /// Memory of each for models and adapters.
    pub memory_bytes: u64,
    /// Requests that each runs at once.
    pub max_batch: usize,
    /// How long things take.
    #[serde(default)]
    pub timings: engine::EngineTimings,
}
