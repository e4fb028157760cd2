//! The limits of a weight store.

use serde::{Deserialize, Serialize};

/// Sets how fast a weight store hands out checkpoints and adapters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreSettings {
    /// Base model loads that may start in a second.
    pub starts_per_second: f64,
    /// Base model loads that run at full speed at once.
    pub full_speed_loads: u64,
    /// Bytes a second of one load at full speed.
    pub bytes_per_second: u64,
    /// Adapter loads that run at full speed at once.
    pub full_speed_adapters: u64,
    /// Milliseconds of the quickest adapter load.
    pub adapter_min_ms: u64,
    /// Milliseconds of the slowest adapter load at full speed.
    pub adapter_max_ms: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            starts_per_second: 4.0,
            full_speed_loads: 4,
            bytes_per_second: 2_000_000_000,
            full_speed_adapters: 30,
            adapter_min_ms: 5,
            adapter_max_ms: 20,
        }
    }
}

impl StoreSettings {
    /// Returns the whole loads that may start in a second, at least one.
    pub(crate) fn whole_starts_per_second(&self) -> u32 {
        (1..u32::MAX)
            .take_while(|&starts| f64::from(starts) <= self.starts_per_second)
            .last()
            .unwrap_or(1)
    }
}
