//! What a load from the weight store has shown of its pace.

use std::time;

use galenahold_domain::name;

/// What a load from the weight store has shown of its pace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSample {
    /// The model that was loaded.
    pub model: name::ModelName,
    /// Loads from the store that were under way when it began, with it.
    pub concurrent_loads: usize,
    /// How long it took.
    pub took: time::Duration,
    /// How long it takes at full speed, as declared.
    pub declared: time::Duration,
    /// How many loads may be under way at once from now on.
    pub max_concurrent_loads: usize,
}
