//! Limits on the loads from the weight store.

use serde::{Deserialize, Serialize};

const DEFAULT_LOADS_PER_SECOND: u32 = 4;
const DEFAULT_LOADS_IN_FLIGHT: u32 = 4;
const DEFAULT_ADAPTERS_IN_FLIGHT: u32 = 30;

/// The load that the weight store can handle from the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreLimits {
    /// The number of model loads that may start in one second.
    pub loads_per_second: u32,
    /// The number of concurrent model loads up to which each runs at full speed.
    pub loads_in_flight: u32,
    /// The number of concurrent adapter loads up to which each runs at full speed.
    pub adapters_in_flight: u32,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            loads_per_second: DEFAULT_LOADS_PER_SECOND,
            loads_in_flight: DEFAULT_LOADS_IN_FLIGHT,
            adapters_in_flight: DEFAULT_ADAPTERS_IN_FLIGHT,
        }
    }
}
