//! Properties of an artifact that waits for a load.

use std::time;

/// Model or adapter that waits to be loaded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadCandidate {
    /// Waiting requests.
    pub waiting: u32,
    /// Waiting requests, where each team's requests count less the more was recently loaded for it.
    pub fair_waiting: f64,
    /// How long the oldest request has waited.
    pub oldest_wait: time::Duration,
    /// Expected duration of the load.
    pub expected_load: time::Duration,
}
