//! Measurement of one load from the weight store.

use std::time;

use galenahold_domain::name;

/// Measured duration of a load from the weight store, and the limit on concurrent loads that
/// follows from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSample {
    /// The loaded model.
    pub model: name::ModelName,
    /// Loads from the store that may have been in progress when this one started, including itself
    /// and those whose order of start is unknown.
    pub concurrent_loads: usize,
    /// The measured duration.
    pub took: time::Duration,
    /// The declared duration at full speed.
    pub declared: time::Duration,
    /// Maximum number of concurrent loads from now on.
    pub max_concurrent_loads: usize,
}
